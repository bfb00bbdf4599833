/** Conversion between messages and the types of the decision cores. */
@NullMarked
package io.oleandermoor.protocol.mapping;

import org.jspecify.annotations.NullMarked;
