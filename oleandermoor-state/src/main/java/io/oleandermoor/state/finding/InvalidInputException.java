package io.oleandermoor.state.finding;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when input has errors. Carries all findings, not only the first. */
public final class InvalidInputException extends Exception {

    private final transient List<Finding> findings;

    /**
     * Creates the exception.
     *
     * @param findings everything that was found in the input
     */
    public InvalidInputException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("; ")));
        this.findings = List.copyOf(findings);
    }

    /**
     * Returns everything that was found.
     *
     * @return the findings in the order in which they were found
     */
    public List<Finding> findings() {
        return findings;
    }
}
