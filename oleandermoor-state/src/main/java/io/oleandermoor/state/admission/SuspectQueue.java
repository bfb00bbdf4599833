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
 * A {@link FairQueue} that starts suspects, requests charged with a crash before, apart from each other as
 * {@link CrashAttribution#startDelayMillis} demands. Suspects that must wait hold no slot, so other requests pass them.
 *
 * <p>The methods are used like those of {@link FairQueue}. Polling is also useful when time has passed. Not safe for
 * use by several threads; the caller holds the lock of the admission table.
 *
 * @param <K> type of the keys of requests
 */
public final class SuspectQueue<K> {

    private final FairQueue<K> queue;
    private final int maximumHeld;
    /** Fingerprints of all requests that are held, wait or run. */
    private final Map<K, String> fingerprints = new HashMap<>();

    private final Map<K, RunningRequest> running = new LinkedHashMap<>();
    /** Suspects that wait for their turn, in the order of their arrival. */
    private final LinkedHashMap<K, WaitingRequest<K>> held = new LinkedHashMap<>();
    /** The suspect whose turn it is and that waits in the queue for a slot. */
    private @Nullable K released;

    /**
     * Creates an empty queue.
     *
     * @param settings policy and bounds
     */
    public SuspectQueue(QueueSettings settings) {
        this.queue = new FairQueue<>(settings);
        this.maximumHeld = settings.maximumQueued();
    }

    /**
     * Changes policy and weights as {@link FairQueue#configure} does. Held suspects keep the weight they came with.
     *
     * @param next the settings from now on; the number of slots must not change
     * @param weights gives the weight of a team from the team and its weight so far
     */
    public void configure(QueueSettings next, ToLongBiFunction<TeamName, Long> weights) {
        queue.configure(next, weights);
    }

    /**
     * Offers a request. A suspect that could not start before its deadline is refused at once.
     *
     * @param request the request; its key must not be held, waiting or running
     * @param fingerprint the fingerprint of its content
     * @param isSuspect whether a fingerprint is suspect now
     * @param nowMillis current time
     * @return whether it waits or is refused
     */
    public AdmissionDecision offer(
            WaitingRequest<K> request, String fingerprint, Predicate<String> isSuspect, long nowMillis) {
        if (held.containsKey(request.key())) {
            throw new IllegalArgumentException("key must not be held: " + request.key());
        }
        if (isSuspect.test(fingerprint)) {
            long wait = CrashAttribution.startDelayMillis(running.values(), fingerprint, isSuspect, nowMillis)
                    + (CrashAttribution.NEWLY_STARTED_MILLIS + 1) * (held.size() + (released == null ? 0 : 1));
            if (wait > 0) {
                return hold(request, fingerprint, wait, nowMillis);
            }
        }
        AdmissionDecision decision = queue.offer(request, nowMillis);
        if (decision instanceof Queued) {
            fingerprints.put(request.key(), fingerprint);
            if (isSuspect.test(fingerprint)) {
                released = request.key();
            }
        }
        return decision;
    }

    /**
     * Takes the next request if a slot is free.
     *
     * @param isSuspect whether a fingerprint is suspect now
     * @param nowMillis current time
     * @return the request to run
     */
    public Optional<WaitingRequest<K>> poll(Predicate<String> isSuspect, long nowMillis) {
        releaseNext(isSuspect, nowMillis);
        Optional<WaitingRequest<K>> next = queue.poll(nowMillis);
        while (next.isPresent()) {
            K key = next.get().key();
            String fingerprint = fingerprint(key);
            if (key.equals(released)) {
                released = null;
            }
            if (!isSuspect.test(fingerprint)
                    || CrashAttribution.startDelayMillis(running.values(), fingerprint, isSuspect, nowMillis) == 0) {
                running.put(key, new RunningRequest(fingerprint, nowMillis));
                return next;
            }
            queue.finished(key, 0, nowMillis);
            held.put(key, next.get());
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
     * @return the request, empty if it is not here
     */
    public Optional<WaitingRequest<K>> cancel(K key) {
        Optional<WaitingRequest<K>> cancelled =
                Optional.ofNullable(held.remove(key)).or(() -> queue.cancel(key));
        cancelled.ifPresent(request -> forget(key));
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
        held.values().stream()
                .filter(request -> request.deadline().hasPassed(nowMillis))
                .forEach(expired::add);
        expired.forEach(request -> {
            held.remove(request.key());
            forget(request.key());
        });
        return expired;
    }

    /**
     * Returns the fingerprints to which a crash of the upstream is charged.
     *
     * @param nowMillis time of the crash
     * @return the fingerprints, empty if none is suspect
     */
    public Set<String> charged(long nowMillis) {
        return CrashAttribution.attributedFingerprints(running.values(), nowMillis);
    }

    /**
     * Returns the number of requests that are held or wait.
     *
     * @return a count
     */
    public int waitingCount() {
        return queue.waitingCount() + held.size();
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
     * Returns the time after which a new live request of a team without other work would start.
     *
     * @return milliseconds, for load reports
     */
    public long expectedWaitMillis() {
        return queue.expectedWaitMillis();
    }

    private AdmissionDecision hold(WaitingRequest<K> request, String fingerprint, long wait, long nowMillis) {
        long remaining = request.deadline().remainingMillis(nowMillis);
        if (remaining == 0) {
            return new Refused(wait, Reason.DEADLINE);
        }
        if (held.size() >= maximumHeld) {
            return new Refused(wait, Reason.QUEUE_FULL);
        }
        held.put(request.key(), request);
        fingerprints.put(request.key(), fingerprint);
        return new Queued(wait);
    }

    /** Lets the first held request wait for a slot when its turn has come. */
    private void releaseNext(Predicate<String> isSuspect, long nowMillis) {
        while (released == null && !held.isEmpty()) {
            WaitingRequest<K> first = held.values().iterator().next();
            String fingerprint = fingerprint(first.key());
            boolean suspect = isSuspect.test(fingerprint);
            if (suspect && CrashAttribution.startDelayMillis(running.values(), fingerprint, isSuspect, nowMillis) > 0) {
                return;
            }
            if (!(queue.offer(first, nowMillis) instanceof Queued)) {
                return;
            }
            held.remove(first.key());
            if (suspect) {
                released = first.key();
            }
        }
    }

    private String fingerprint(K key) {
        return fingerprints.getOrDefault(key, "");
    }

    private void forget(K key) {
        fingerprints.remove(key);
        if (key.equals(released)) {
            released = null;
        }
    }
}
