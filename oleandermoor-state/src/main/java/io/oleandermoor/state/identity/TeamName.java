package io.oleandermoor.state.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a team, the unit to which keys, rates and fairness apply.
 *
 * @param value the text of the identifier
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {

    /** Checks the text. */
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
