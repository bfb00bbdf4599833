package io.oleandermoor.state.memory;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.identity.AdapterName;

/**
 * One version of an adapter.
 *
 * @param name the name of the adapter
 * @param version the version of its weights
 */
public record AdapterVersion(AdapterName name, String version) implements Weights {

    /**
     * Returns the version specified in the configuration.
     *
     * @param adapter the configured adapter
     * @return the configured version
     */
    public static AdapterVersion of(Adapter adapter) {
        return new AdapterVersion(adapter.name(), adapter.version());
    }

    @Override
    public String nameText() {
        return name.value();
    }

    @Override
    public boolean isAdapter() {
        return true;
    }
}
