/** Root of the coordination module. */
@NullMarked
package io.oleandermoor.coordination;

import org.jspecify.annotations.NullMarked;
