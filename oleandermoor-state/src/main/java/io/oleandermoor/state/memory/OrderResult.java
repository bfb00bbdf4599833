package io.oleandermoor.state.memory;

/** What an engine reports about an order. */
public enum OrderResult {
    /** The order has been executed completely. */
    DONE,
    /** The order was not executed when it arrived; a repeated delivery may still be. */
    REJECTED
}
