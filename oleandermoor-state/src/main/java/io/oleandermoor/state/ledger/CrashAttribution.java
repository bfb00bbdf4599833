package io.oleandermoor.state.ledger;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Determines the requests to which a crash is attributed. Delays the starts of suspects, requests to which a crash was
 * attributed before, so that the next crash is attributed to only one of them.
 */
public final class CrashAttribution {

    /** Maximum age at which a running request counts as newly started, in milliseconds. */
    public static final long NEWLY_STARTED_MILLIS = 2_000;

    private CrashAttribution() {}

    /**
     * Request that runs at an upstream.
     *
     * @param fingerprint the SHA-256 of team, model and canonical body
     * @param startedAtMillis the time at which the request started at the upstream, in milliseconds
     */
    public record RunningRequest(String fingerprint, long startedAtMillis) {}

    /**
     * Returns the fingerprints to which a crash is attributed: the fingerprint of the only running request, or those of
     * all newly started requests.
     *
     * @param running the requests that ran at the time of the crash
     * @param crashedAtMillis the time of the crash, in milliseconds
     * @return the fingerprints, empty if the crash is attributed to no request
     */
    public static Set<String> attributedFingerprints(Collection<RunningRequest> running, long crashedAtMillis) {
        return running.stream()
                .filter(request -> running.size() == 1 || isNewlyStarted(request, crashedAtMillis))
                .map(RunningRequest::fingerprint)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the delay before a suspect may start, such that two different suspects are never newly started at the
     * same time. Requests with equal fingerprints do not delay each other, because a crash is attributed to their
     * fingerprint only once.
     *
     * @param running the requests that run at the upstream
     * @param fingerprint the fingerprint of the suspect
     * @param isSuspect whether an unexplained crash is attributed to a fingerprint
     * @param nowMillis the current time by the clock of the start times, in milliseconds
     * @return the delay in milliseconds, 0 if the suspect may start now
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
