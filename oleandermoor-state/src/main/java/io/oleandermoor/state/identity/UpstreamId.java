package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one upstream: an engine or a replica of a plain service.
 *
 * @param value the text of the identifier
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public UpstreamId {
        Identifiers.requireValid(value, "upstream id");
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
