/** Root of the standin module. */
@NullMarked
package io.oleandermoor.standin;

import org.jspecify.annotations.NullMarked;
