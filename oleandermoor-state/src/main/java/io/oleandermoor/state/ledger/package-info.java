/**
 * Tracking of request outcomes: the ledger of attempts at an agent, the decisions of an entry after each event, the
 * idempotency records of non-repeatable calls, and the attribution of crashes. Implements section 4.6 of the design.
 */
@NullMarked
package io.oleandermoor.state.ledger;

import org.jspecify.annotations.NullMarked;
