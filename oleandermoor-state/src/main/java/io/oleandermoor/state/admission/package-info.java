/** Order, bounds and early refusal of waiting work in front of an upstream, deadlines and retry budgets. */
@NullMarked
package io.oleandermoor.state.admission;

import org.jspecify.annotations.NullMarked;
