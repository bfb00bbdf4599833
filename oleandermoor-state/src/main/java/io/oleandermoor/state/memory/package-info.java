/**
 * Accounting of the accelerator memory of an engine: the largest set of weights that may be resident, given the orders
 * whose effect is uncertain.
 */
@NullMarked
package io.oleandermoor.state.memory;

import org.jspecify.annotations.NullMarked;
