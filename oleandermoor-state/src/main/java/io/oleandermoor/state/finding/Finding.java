package io.oleandermoor.state.finding;

/**
 * Problem found in input.
 *
 * @param severity how serious the problem is
 * @param place the location of the problem: file and line, or a path such as {@code teams[2].rate}
 * @param message the description of the problem and of the expected input
 */
public record Finding(Severity severity, String place, String message) {

    @Override
    public String toString() {
        return severity + " " + place + ": " + message;
    }
}
