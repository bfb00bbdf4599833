/** Problems found in input, collected with their place and reported together. */
@NullMarked
package io.oleandermoor.state.finding;

import org.jspecify.annotations.NullMarked;
