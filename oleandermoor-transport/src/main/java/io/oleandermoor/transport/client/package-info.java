/** HTTP clients of upstreams and of the platform. */
@NullMarked
package io.oleandermoor.transport.client;

import org.jspecify.annotations.NullMarked;
