package io.oleandermoor.state.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * What one entry observed when an instance ended: its requests that the instance had not answered completely.
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
     * A request that an instance had not answered completely when it ended.
     *
     * @param requestId the identifier of the request
     * @param traits the traits of the request
     * @param answeringMillis the time for which the instance had been answering the request; 0 if it had not begun
     */
    public record Suspect(String requestId, List<String> traits, long answeringMillis) {

        /** Copies the traits. */
        public Suspect {
            traits = List.copyOf(traits);
        }
    }

    /** Splits the report into ones with a maximum number of suspects. */
    public List<CrashReport> split(int maximumSuspects) {
        List<CrashReport> parts = new ArrayList<>();
        for (int start = 0; start < suspects.size(); start += maximumSuspects) {
            int end = Math.min(suspects.size(), start + maximumSuspects);
            parts.add(new CrashReport(instance, startedMillis, suspects.subList(start, end)));
        }
        return parts;
    }

    /** Returns the identifier of the run of the instance, the same in the reports of all entries. */
    String runId() {
        return instance + "@" + startedMillis;
    }
}
