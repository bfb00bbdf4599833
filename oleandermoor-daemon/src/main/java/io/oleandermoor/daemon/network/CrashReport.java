package io.oleandermoor.daemon.network;

import java.util.List;

/**
 * A crash of an upstream as its agent reports it.
 *
 * @param upstream the upstream
 * @param atEpochMillis the time of the crash on the agent's wall clock, which also tells crashes apart
 * @param fingerprints the fingerprints of the requests that are charged
 */
public record CrashReport(String upstream, long atEpochMillis, List<String> fingerprints) {

    /** Prefix of the names of items with reports. */
    public static final String ITEM_PREFIX = "crash/";

    /** Copies the list. */
    public CrashReport {
        fingerprints = List.copyOf(fingerprints);
    }
}
