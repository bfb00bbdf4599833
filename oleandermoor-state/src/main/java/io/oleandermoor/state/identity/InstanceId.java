package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of an instance, which runs one process of the system.
 *
 * @param value the text of the identifier
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public InstanceId {
        Identifiers.requireValid(value, "instance id");
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
