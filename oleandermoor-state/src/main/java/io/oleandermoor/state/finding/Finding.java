package io.oleandermoor.state.finding;

/**
 * One problem in some input.
 *
 * @param severity how serious the problem is
 * @param place where the problem is: file and line, or a path such as {@code teams[2].rate}
 * @param message what is wrong and what is expected
 */
public record Finding(Severity severity, String place, String message) {

    @Override
    public String toString() {
        return severity + " " + place + ": " + message;
    }
}
