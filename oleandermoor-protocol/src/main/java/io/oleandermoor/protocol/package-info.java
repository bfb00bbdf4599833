/** Root of the protocol module. */
@NullMarked
package io.oleandermoor.protocol;

import org.jspecify.annotations.NullMarked;
