package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.Configuration;

/** Is told when another version is in force. Calls come in the order of versions and never overlap. */
@FunctionalInterface
public interface ConfigurationListener {

    /**
     * Called outside all locks when a later version is in force. Versions may be skipped.
     *
     * @param previous the version that was in force at the last call
     * @param current the later version
     */
    void changed(Configuration previous, Configuration current);
}
