package io.oleandermoor.state.finding;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if input has errors. Contains all findings about the input, including warnings. */
public final class InvalidInputException extends Exception {

    private final transient List<Finding> findings;

    /**
     * Creates the exception.
     *
     * @param findings all findings about the input
     */
    public InvalidInputException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("; ")));
        this.findings = List.copyOf(findings);
    }

    /**
     * Returns all findings about the input.
     *
     * @return the findings in the order in which they were found
     */
    public List<Finding> findings() {
        return findings;
    }
}
