/** Root of the operator module. */
@NullMarked
package io.oleandermoor.operator;

import org.jspecify.annotations.NullMarked;
