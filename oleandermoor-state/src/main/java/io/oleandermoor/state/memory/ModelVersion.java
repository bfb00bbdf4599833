package io.oleandermoor.state.memory;

import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.ModelName;

/**
 * One version of a model.
 *
 * @param name the name of the model
 * @param version the version of its weights
 */
public record ModelVersion(ModelName name, String version) implements Weights {

    /**
     * Returns the version specified in the configuration.
     *
     * @param model the configured model
     * @return the configured version
     */
    public static ModelVersion of(Model model) {
        return new ModelVersion(model.name(), model.version());
    }

    @Override
    public String nameText() {
        return name.value();
    }

    @Override
    public boolean isAdapter() {
        return false;
    }
}
