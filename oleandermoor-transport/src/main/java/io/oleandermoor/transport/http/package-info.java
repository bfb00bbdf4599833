/** A narrow HTTP server interface and its implementation on Jooby. */
@NullMarked
package io.oleandermoor.transport.http;

import org.jspecify.annotations.NullMarked;
