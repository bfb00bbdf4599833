package io.oleandermoor.state.finding;

/** Severity of a finding. */
public enum Severity {
    /** The input cannot be used. */
    ERROR,
    /** The input can be used but probably does not express what its author intended. */
    WARNING
}
