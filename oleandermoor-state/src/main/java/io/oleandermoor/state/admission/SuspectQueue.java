package io.oleandermoor.state.admission;

import io.oleandermoor.state.admission.AdmissionDecision.Queued;
import io.oleandermoor.state.admission.AdmissionDecision.Reason;
import io.oleandermoor.state.admission.AdmissionDecision.Refused;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.ledger.CrashAttribution;
import io.oleandermoor.state.ledger.CrashAttribution.RunningRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongBiFunction;
import org.jspecify.annotations.Nullable;

/**
 * A {@link FairQueue} that separates the starts of suspects as {@link CrashAttribution#startDelayMillis} requires. A
 * suspect is a request that has been charged with a crash of an upstream. Suspects that must wait are held without a
 * slot, so other requests can overtake them.
 *
 * <p>The methods are used like those of {@link FairQueue}. The caller also polls as time passes, because the wait of a
 * suspect can end without another call. Not thread-safe; the caller must hold the lock of the admission table.
 *
 * @param <K> type of the keys of requests
 */
public final class SuspectQueue<K> {

    private final FairQueue<K> queue;
    private final int maximumHeldSuspects;
    /** Fingerprints of all requests that are held, wait or run. */
    private final Map<K, String> fingerprints = new HashMap<>();

    private final Map<K, RunningRequest> running = new LinkedHashMap<>();
    /** Suspects that wait for other suspects, in order of arrival. */
    private final LinkedHashMap<K, WaitingRequest<K>> heldSuspects = new LinkedHashMap<>();
    /** The suspect that may start next and waits in the queue for a slot. */
    private @Nullable K releasedSuspect;

    /**
     * Creates an empty queue.
     *
     * @param settings policy and limits
     */
    public SuspectQueue(QueueSettings settings) {
        this.queue = new FairQueue<>(settings);
        this.maximumHeldSuspects = settings.maximumQueued();
    }

    /**
     * Changes policy and weights as {@link FairQueue#configure} does. Held suspects keep the weight with which they
     * were offered.
     *
     * @param next the settings from now on; the number of slots must not change
     * @param weights returns the new weight of a team, given the team and its current weight
     */
    public void configure(QueueSettings next, ToLongBiFunction<TeamName, Long> weights) {
        queue.configure(next, weights);
    }

    /**
     * Offers a request. A suspect whose deadline has passed is refused immediately.
     *
     * @param request the request; its key must not be held, waiting or running
     * @param fingerprint fingerprint of the content of the request
     * @param isSuspect whether a fingerprint is suspect now
     * @param nowMillis current time
     * @return whether the request is queued or refused
     */
    public AdmissionDecision offer(
            WaitingRequest<K> request, String fingerprint, Predicate<String> isSuspect, long nowMillis) {
        if (heldSuspects.containsKey(request.key())) {
            throw new IllegalArgumentException("key must not be held: " + request.key());
        }
        if (isSuspect.test(fingerprint)) {
            long wait = CrashAttribution.startDelayMillis(running.values(), fingerprint, isSuspect, nowMillis)
                    + (CrashAttribution.NEWLY_STARTED_MILLIS + 1)
                            * (heldSuspects.size() + (releasedSuspect == null ? 0 : 1));
            if (wait > 0) {
                return hold(request, fingerprint, wait, nowMillis);
            }
        }
        AdmissionDecision decision = queue.offer(request, nowMillis);
        if (decision instanceof Queued) {
            fingerprints.put(request.key(), fingerprint);
            if (isSuspect.test(fingerprint)) {
                releasedSuspect = request.key();
            }
        }
        return decision;
    }

    /**
     * Takes the next request if a slot is free.
     *
     * @param isSuspect whether a fingerprint is suspect now
     * @param nowMillis current time
     * @return the request to run, or empty if no request can start now
     */
    public Optional<WaitingRequest<K>> poll(Predicate<String> isSuspect, long nowMillis) {
        releaseNext(isSuspect, nowMillis);
        Optional<WaitingRequest<K>> next = queue.poll(nowMillis);
        while (next.isPresent()) {
            K key = next.get().key();
            String fingerprint = fingerprint(key);
            if (key.equals(releasedSuspect)) {
                releasedSuspect = null;
            }
            if (!isSuspect.test(fingerprint)
                    || CrashAttribution.startDelayMillis(running.values(), fingerprint, isSuspect, nowMillis) == 0) {
                running.put(key, new RunningRequest(fingerprint, nowMillis));
                return next;
            }
            queue.finished(key, 0, nowMillis);
            heldSuspects.put(key, next.get());
            next = queue.poll(nowMillis);
        }
        return next;
    }

    /**
     * Reports that a polled request has ended and frees its slot.
     *
     * @param key the key of the request
     * @param actualTokens tokens that it used, 0 if it did not run
     * @param nowMillis current time
     * @return whether the request was running
     */
    public boolean finished(K key, long actualTokens, long nowMillis) {
        boolean wasRunning = queue.finished(key, actualTokens, nowMillis);
        if (wasRunning) {
            running.remove(key);
            fingerprints.remove(key);
        }
        return wasRunning;
    }

    /**
     * Removes a request that is held or waits.
     *
     * @param key the key of the request
     * @return the request, or empty if it is neither held nor waiting
     */
    public Optional<WaitingRequest<K>> cancel(K key) {
        Optional<WaitingRequest<K>> cancelled =
                Optional.ofNullable(heldSuspects.remove(key)).or(() -> queue.cancel(key));
        cancelled.ifPresent(request -> untrack(key));
        return cancelled;
    }

    /**
     * Removes the requests that are held or wait and whose deadline has passed.
     *
     * @param nowMillis current time
     * @return the requests
     */
    public List<WaitingRequest<K>> expire(long nowMillis) {
        List<WaitingRequest<K>> expired = new ArrayList<>(queue.expire(nowMillis));
        heldSuspects.values().stream()
                .filter(request -> request.deadline().hasPassed(nowMillis))
                .forEach(expired::add);
        expired.forEach(request -> {
            heldSuspects.remove(request.key());
            untrack(request.key());
        });
        return expired;
    }

    /**
     * Returns the fingerprints to which a crash of the upstream is charged.
     *
     * @param nowMillis time of the crash
     * @return the fingerprints, empty if none is suspect
     */
    public Set<String> chargedFingerprints(long nowMillis) {
        return CrashAttribution.attributedFingerprints(running.values(), nowMillis);
    }

    /**
     * Returns the number of requests that are held or wait.
     *
     * @return a count
     */
    public int waitingCount() {
        return queue.waitingCount() + heldSuspects.size();
    }

    /**
     * Returns the number of running requests.
     *
     * @return a count
     */
    public int runningCount() {
        return queue.runningCount();
    }

    /**
     * Returns the expected wait of a new live request of a team without other requests.
     *
     * @return the expected wait in milliseconds, for load reports
     */
    public long expectedWaitMillis() {
        return queue.expectedWaitMillis();
    }

    private AdmissionDecision hold(WaitingRequest<K> request, String fingerprint, long wait, long nowMillis) {
        long remaining = request.deadline().remainingMillis(nowMillis);
        if (remaining == 0) {
            return new Refused(wait, Reason.DEADLINE);
        }
        if (heldSuspects.size() >= maximumHeldSuspects) {
            return new Refused(wait, Reason.QUEUE_FULL);
        }
        heldSuspects.put(request.key(), request);
        fingerprints.put(request.key(), fingerprint);
        return new Queued(wait);
    }

    /** Moves held requests to the queue while the first one is allowed to start. */
    private void releaseNext(Predicate<String> isSuspect, long nowMillis) {
        while (releasedSuspect == null && !heldSuspects.isEmpty()) {
            WaitingRequest<K> first = heldSuspects.values().iterator().next();
            String fingerprint = fingerprint(first.key());
            boolean suspect = isSuspect.test(fingerprint);
            if (suspect && CrashAttribution.startDelayMillis(running.values(), fingerprint, isSuspect, nowMillis) > 0) {
                return;
            }
            if (!(queue.offer(first, nowMillis) instanceof Queued)) {
                return;
            }
            heldSuspects.remove(first.key());
            if (suspect) {
                releasedSuspect = first.key();
            }
        }
    }

    private String fingerprint(K key) {
        return fingerprints.getOrDefault(key, "");
    }

    private void untrack(K key) {
        fingerprints.remove(key);
        if (key.equals(releasedSuspect)) {
            releasedSuspect = null;
        }
    }
}
