/** Pooled HTTP connections to instances. Each carries one request at a time and matches responses by request id. */
@NullMarked
package io.oleandermoor.gateway.upstream;

import org.jspecify.annotations.NullMarked;
