package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a team. API keys, rates and fair sharing apply to teams.
 *
 * @param value the text of the identifier
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {

    /** Checks that the value is a valid identifier. */
    @JsonCreator
    public TeamName {
        Identifiers.requireValid(value, "team name");
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
