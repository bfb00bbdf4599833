package io.oleandermoor.state.finding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

/** Collects findings so that they can be reported together. Not thread-safe. */
public final class Findings {

    private final List<Finding> findings = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param place the location of the problem
     * @param message the description of the problem and of the expected input
     */
    public void error(String place, String message) {
        findings.add(new Finding(Severity.ERROR, place, message));
    }

    /**
     * Adds a warning.
     *
     * @param place the location of the problem
     * @param message the description of the problem and of the expected input
     */
    public void warning(String place, String message) {
        findings.add(new Finding(Severity.WARNING, place, message));
    }

    /**
     * Returns whether at least one error was added.
     *
     * @return true if the input cannot be used
     */
    public boolean hasErrors() {
        return findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR);
    }

    /**
     * Returns the findings in the order in which they were added.
     *
     * @return an unmodifiable view of the findings
     */
    public List<Finding> list() {
        return Collections.unmodifiableList(findings);
    }

    /**
     * Throws an exception with all findings if at least one of them is an error.
     *
     * @throws InvalidInputException if at least one error was added
     */
    public void throwIfErrors() throws InvalidInputException {
        if (hasErrors()) {
            throw new InvalidInputException(list());
        }
    }

    @Override
    public String toString() {
        return findings.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }
}
