/** Connections of a process to callers, peers, upstreams and the platform. */
@NullMarked
package io.oleandermoor.transport;

import org.jspecify.annotations.NullMarked;
