package io.oleandermoor.state.finding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

/** Collects findings so that they are reported together. Not safe for use by several threads. */
public final class Findings {

    private final List<Finding> findings = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param place where the problem is
     * @param message what is wrong and what is expected
     */
    public void error(String place, String message) {
        findings.add(new Finding(Severity.ERROR, place, message));
    }

    /**
     * Adds a warning.
     *
     * @param place where the problem is
     * @param message what is wrong and what is expected
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
     * @return an unmodifiable view
     */
    public List<Finding> list() {
        return Collections.unmodifiableList(findings);
    }

    /**
     * Throws an exception with all findings if there is an error among them.
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
