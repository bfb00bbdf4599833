package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an adapter that extends a base model.
 *
 * @param value the text of the identifier
 */
public record AdapterName(@JsonValue String value) implements Comparable<AdapterName> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public AdapterName {
        Identifiers.requireValid(value, "adapter name");
    }

    @Override
    public int compareTo(AdapterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
