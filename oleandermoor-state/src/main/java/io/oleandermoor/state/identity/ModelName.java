package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model that engines can load.
 *
 * @param value the text of the identifier
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public ModelName {
        Identifiers.requireValid(value, "model name");
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
