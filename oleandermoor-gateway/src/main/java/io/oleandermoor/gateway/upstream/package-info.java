/** Connections to instances: one request at a time on each, answers matched by their identifier. */
@NullMarked
package io.oleandermoor.gateway.upstream;

import org.jspecify.annotations.NullMarked;
