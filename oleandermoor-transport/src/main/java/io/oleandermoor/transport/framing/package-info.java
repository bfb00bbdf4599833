/** Finds where one HTTP/1.1 message ends and the next begins on connections whose peer may violate the framing. */
@NullMarked
package io.oleandermoor.transport.framing;

import org.jspecify.annotations.NullMarked;
