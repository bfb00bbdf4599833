package io.oleandermoor.daemon.entry;

/** Thrown when a request is refused before anything was sent to an agent. */
final class RefusedException extends Exception {

    private final transient CallerError error;

    RefusedException(CallerError error) {
        super(error.message());
        this.error = error;
    }

    CallerError error() {
        return error;
    }
}
