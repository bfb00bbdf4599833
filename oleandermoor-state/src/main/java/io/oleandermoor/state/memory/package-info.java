/**
 * Accelerator memory of one engine: the largest set of weights that may be resident, given every order whose effect is
 * not certain.
 */
@NullMarked
package io.oleandermoor.state.memory;

import org.jspecify.annotations.NullMarked;
