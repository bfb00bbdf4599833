package io.oleandermoor.coordination.store;

/** Thrown when the key-value service gave no usable answer. A write may nevertheless have taken effect. */
public final class StoreException extends Exception {

    /**
     * Creates the exception.
     *
     * @param message what was asked and what went wrong
     */
    public StoreException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message what was asked and what went wrong
     * @param cause the underlying failure
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
