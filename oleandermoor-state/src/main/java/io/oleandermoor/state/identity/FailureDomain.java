package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain, a set of instances that can fail together.
 *
 * @param value the text of the identifier
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public FailureDomain {
        Identifiers.requireValid(value, "failure domain");
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
