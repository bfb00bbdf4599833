package io.oleandermoor.transport.client;

import java.io.IOException;

/** Thrown when an engine answered an order with an error. The order did not take effect. */
public final class EngineRefusedException extends IOException {

    private final int status;

    EngineRefusedException(String path, int status) {
        super("engine answered " + path + " with status " + status);
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }
}
