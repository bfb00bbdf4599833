/** Root of the state module. */
@NullMarked
package io.oleandermoor.state;

import org.jspecify.annotations.NullMarked;
