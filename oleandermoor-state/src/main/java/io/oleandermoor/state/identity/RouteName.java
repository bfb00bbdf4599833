package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a configured route to a plain service.
 *
 * @param value the text of the identifier
 */
public record RouteName(@JsonValue String value) implements Comparable<RouteName> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public RouteName {
        Identifiers.requireValid(value, "route name");
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
