/** Fair queueing and early refusal of requests in front of an upstream, deadlines and retry budgets. */
@NullMarked
package io.oleandermoor.state.admission;

import org.jspecify.annotations.NullMarked;
