package io.oleandermoor.state.finding;

/** How serious a finding is. */
public enum Severity {
    /** The input cannot be used. */
    ERROR,
    /** The input can be used but probably does not say what its author meant. */
    WARNING
}
