package io.oleandermoor.state.ledger;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds the requests to which a crash is charged. */
public final class CrashAttribution {

    /** Age up to which a request counts as newly started, in milliseconds. */
    public static final long NEWLY_STARTED_MILLIS = 2_000;

    private CrashAttribution() {}

    /**
     * A request that ran when an upstream crashed.
     *
     * @param fingerprint SHA-256 of team, model and canonical body
     * @param startedAtMillis the time at which it started at the upstream, in milliseconds
     */
    public record Running(String fingerprint, long startedAtMillis) {}

    /**
     * Returns the fingerprints that are charged: that of a request that ran alone, or those newly started.
     *
     * @param running the requests that ran
     * @param crashedAtMillis the time of the crash, in milliseconds
     * @return the fingerprints, empty if none is suspect
     */
    public static Set<String> charged(List<Running> running, long crashedAtMillis) {
        return running.stream()
                .filter(request ->
                        running.size() == 1 || crashedAtMillis - request.startedAtMillis() <= NEWLY_STARTED_MILLIS)
                .map(Running::fingerprint)
                .collect(Collectors.toUnmodifiableSet());
    }
}
