package io.oleandermoor.state.configuration;

/** Who may use a route. */
public enum Access {
    /** Any caller; no key is needed. */
    OPEN(false),
    /** Callers with a key of a team. */
    TEAM(true);

    private final boolean keyRequired;

    Access(boolean keyRequired) {
        this.keyRequired = keyRequired;
    }

    /**
     * Returns whether a request must carry a key.
     *
     * @return true if a key is needed
     */
    public boolean isKeyRequired() {
        return keyRequired;
    }
}
