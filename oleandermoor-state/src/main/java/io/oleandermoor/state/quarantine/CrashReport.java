package io.oleandermoor.state.quarantine;

import java.util.List;

/**
 * What one entry observed when an instance ended: its requests that the instance had just begun or not begun to answer.
 *
 * @param instance the identifier of the instance
 * @param startedMillis the start time of the instance, which distinguishes its runs
 * @param suspects the requests of the entry, one of which may have ended the instance
 */
public record CrashReport(String instance, long startedMillis, List<Suspect> suspects) {

    /** Copies the suspects. */
    public CrashReport {
        suspects = List.copyOf(suspects);
    }

    /**
     * A request that an instance had just begun or not begun to answer when it ended.
     *
     * @param requestId the identifier of the request
     * @param traits the traits of the request
     */
    public record Suspect(String requestId, List<String> traits) {

        /** Copies the traits. */
        public Suspect {
            traits = List.copyOf(traits);
        }
    }

    /** Returns the identifier of the run of the instance, the same in the reports of all entries. */
    String runId() {
        return instance + "@" + startedMillis;
    }
}
