package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a plain service whose replicas are upstreams.
 *
 * @param value the text of the identifier
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public ServiceName {
        Identifiers.requireValid(value, "service name");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
