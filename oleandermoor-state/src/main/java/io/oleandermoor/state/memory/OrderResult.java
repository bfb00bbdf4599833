package io.oleandermoor.state.memory;

/** Result of an order, as reported by the engine. */
public enum OrderResult {
    /** The order has been executed completely. */
    DONE,
    /** The order was not executed on this delivery; a repeated delivery may still be executed. */
    REJECTED
}
