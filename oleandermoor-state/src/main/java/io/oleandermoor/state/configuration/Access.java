package io.oleandermoor.state.configuration;

/** Which callers may use a route. */
public enum Access {
    /** Any caller; no API key is required. */
    OPEN(false),
    /** Callers with an API key of any team. */
    TEAM(true);

    private final boolean keyRequired;

    Access(boolean keyRequired) {
        this.keyRequired = keyRequired;
    }

    /**
     * Returns whether a request must carry an API key.
     *
     * @return true if an API key is required
     */
    public boolean isKeyRequired() {
        return keyRequired;
    }
}
