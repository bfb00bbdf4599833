package io.oleandermoor.state.ledger;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finds the requests to which a crash is charged, and keeps requests that were charged before apart, so that the next
 * crash is charged to only one of them a second time.
 */
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
    public record RunningRequest(String fingerprint, long startedAtMillis) {}

    /**
     * Returns the fingerprints that are charged: that of a request that ran alone, or those newly started.
     *
     * @param running the requests that ran
     * @param crashedAtMillis the time of the crash, in milliseconds
     * @return the fingerprints, empty if none is suspect
     */
    public static Set<String> attributedFingerprints(Collection<RunningRequest> running, long crashedAtMillis) {
        return running.stream()
                .filter(request -> running.size() == 1 || isNewlyStarted(request, crashedAtMillis))
                .map(RunningRequest::fingerprint)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns how long a suspect waits before it starts, so that no two different suspects are newly started at the
     * same time. Requests with equal fingerprints need not wait for each other, because a crash is charged to their
     * fingerprint once.
     *
     * @param running the requests that run at the upstream
     * @param fingerprint the fingerprint of the suspect
     * @param isSuspect whether a fingerprint was charged with a crash that is not explained yet
     * @param nowMillis the time in milliseconds, of the clock of the start times
     * @return the wait in milliseconds, 0 if it may start now
     */
    public static long startDelayMillis(
            Collection<RunningRequest> running, String fingerprint, Predicate<String> isSuspect, long nowMillis) {
        return running.stream()
                .filter(request -> isNewlyStarted(request, nowMillis)
                        && !request.fingerprint().equals(fingerprint)
                        && isSuspect.test(request.fingerprint()))
                .mapToLong(request -> request.startedAtMillis() + NEWLY_STARTED_MILLIS + 1 - nowMillis)
                .max()
                .orElse(0);
    }

    private static boolean isNewlyStarted(RunningRequest request, long nowMillis) {
        return nowMillis - request.startedAtMillis() <= NEWLY_STARTED_MILLIS;
    }
}
