/** Root of the transport module. */
@NullMarked
package io.oleandermoor.transport;

import org.jspecify.annotations.NullMarked;
