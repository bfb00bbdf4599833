package io.oleandermoor.coordination.membership;

/** What a process does. */
public enum MemberRole {
    /** Takes requests of callers. */
    ENTRY,
    /** Runs beside one upstream. */
    AGENT
}
