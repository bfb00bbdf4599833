/**
 * Outcomes of requests: what an agent remembers of each attempt, what an entry does after each event, the record of a
 * non-repeatable call, and crashes. Implements section 4.6 of the design.
 */
@NullMarked
package io.oleandermoor.state.ledger;

import org.jspecify.annotations.NullMarked;
