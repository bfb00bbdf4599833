package io.oleandermoor.daemon.administration;

/** Thrown when the accepted configuration cannot be read, for example because the key-value service is down. */
public final class ConfigurationUnavailableException extends Exception {

    /**
     * Creates the exception.
     *
     * @param message why it cannot be read
     */
    public ConfigurationUnavailableException(String message) {
        super(message);
    }
}
