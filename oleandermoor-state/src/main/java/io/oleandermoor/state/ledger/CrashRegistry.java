package io.oleandermoor.state.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts crashes by the fingerprint of the requests charged with them. The same reports lead to the same state in any
 * order and however often they arrive, as long as the limit of fingerprints is not reached. Safe for use by several
 * threads; its lock has place 7 in the lock order.
 */
public final class CrashRegistry {

    /** Number of different crashes that block a fingerprint. */
    public static final int BLOCKING_CRASH_COUNT = 2;

    /** Time for which a fingerprint is blocked, and longest time between crashes that block it, in milliseconds. */
    public static final long BLOCK_DURATION_MILLIS = 600_000;

    /** Crashes kept for each fingerprint. The two latest decide; two more absorb differences between clocks. */
    private static final int MAXIMUM_CRASHES_PER_FINGERPRINT = 4;

    private static final Comparator<Crash> LATEST_FIRST = Comparator.comparingLong(Crash::atEpochMillis)
            .thenComparing(Crash::upstream)
            .thenComparingLong(Crash::incarnation)
            .reversed();

    private final Object lock = new Object();
    private final int maximumFingerprints;
    private final Map<String, List<Crash>> crashes = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param maximumFingerprints number of fingerprints remembered; beyond it the one with the oldest crash is dropped
     */
    public CrashRegistry(int maximumFingerprints) {
        if (maximumFingerprints < 1) {
            throw new IllegalArgumentException("maximumFingerprints must be positive, was " + maximumFingerprints);
        }
        this.maximumFingerprints = maximumFingerprints;
    }

    /**
     * Adds a crash charged to a fingerprint.
     *
     * @param fingerprint the fingerprint
     * @param crash the crash
     */
    public void add(String fingerprint, Crash crash) {
        synchronized (lock) {
            List<Crash> kept = crashes.computeIfAbsent(fingerprint, key -> new ArrayList<>());
            insert(kept, crash);
            if (crashes.size() > maximumFingerprints) {
                crashes.entrySet().stream()
                        .min(Comparator.comparingLong((Map.Entry<String, List<Crash>> entry) ->
                                        entry.getValue().get(0).atEpochMillis())
                                .thenComparing(Map.Entry::getKey))
                        .map(Map.Entry::getKey)
                        .ifPresent(crashes::remove);
            }
        }
    }

    /**
     * Adds what another process knows.
     *
     * @param other the crashes by fingerprint
     */
    public void merge(Map<String, List<Crash>> other) {
        other.forEach((fingerprint, list) -> list.forEach(crash -> add(fingerprint, crash)));
    }

    /**
     * Returns whether requests with a fingerprint are refused.
     *
     * @param fingerprint the fingerprint
     * @param nowEpochMillis the time of the wall clock, in milliseconds
     * @return true if it crashed two upstreams within the block time and the block has not ended
     */
    public boolean isBlocked(String fingerprint, long nowEpochMillis) {
        synchronized (lock) {
            List<Crash> kept = crashes.getOrDefault(fingerprint, List.of());
            for (int index = 0; index + BLOCKING_CRASH_COUNT <= kept.size(); index++) {
                long last = kept.get(index).atEpochMillis();
                long first = kept.get(index + BLOCKING_CRASH_COUNT - 1).atEpochMillis();
                if (last - first <= BLOCK_DURATION_MILLIS && nowEpochMillis < last + BLOCK_DURATION_MILLIS) {
                    return true;
                }
            }
            return false;
        }
    }

    /**
     * Returns whether requests with a fingerprint may have caused a recent crash. A crash that is also charged to
     * another fingerprint that is blocked counts as explained: the blocked one does not run again.
     *
     * @param fingerprint the fingerprint
     * @param nowEpochMillis the time of the wall clock, in milliseconds
     * @return true if it was charged with an unexplained crash within the block time
     */
    public boolean isSuspect(String fingerprint, long nowEpochMillis) {
        synchronized (lock) {
            return crashes.getOrDefault(fingerprint, List.of()).stream()
                    .anyMatch(crash -> nowEpochMillis < crash.atEpochMillis() + BLOCK_DURATION_MILLIS
                            && !isExplained(fingerprint, crash, nowEpochMillis));
        }
    }

    private boolean isExplained(String fingerprint, Crash crash, long nowEpochMillis) {
        return crashes.entrySet().stream()
                .anyMatch(entry -> !entry.getKey().equals(fingerprint)
                        && entry.getValue().stream().anyMatch(crash::isSameAs)
                        && isBlocked(entry.getKey(), nowEpochMillis));
    }

    /**
     * Forgets crashes that can no longer block.
     *
     * @param nowEpochMillis the time of the wall clock, in milliseconds
     */
    public void expire(long nowEpochMillis) {
        synchronized (lock) {
            crashes.values()
                    .removeIf(kept -> nowEpochMillis - kept.get(0).atEpochMillis() >= 2 * BLOCK_DURATION_MILLIS);
        }
    }

    /**
     * Returns all crashes, for another process.
     *
     * @return a copy
     */
    public Map<String, List<Crash>> snapshot() {
        synchronized (lock) {
            Map<String, List<Crash>> copy = new HashMap<>();
            crashes.forEach((fingerprint, list) -> copy.put(fingerprint, List.copyOf(list)));
            return Map.copyOf(copy);
        }
    }

    /**
     * Adds a crash unless it is known. Of two times reported for one crash the later one counts: then a crash that was
     * dropped for later ones stays dropped, and the order of the reports does not matter.
     */
    private static void insert(List<Crash> kept, Crash crash) {
        for (int index = 0; index < kept.size(); index++) {
            Crash known = kept.get(index);
            if (known.isSameAs(crash)) {
                if (crash.atEpochMillis() <= known.atEpochMillis()) {
                    return;
                }
                kept.remove(index);
                break;
            }
        }
        kept.add(crash);
        kept.sort(LATEST_FIRST);
        if (kept.size() > MAXIMUM_CRASHES_PER_FINGERPRINT) {
            kept.remove(kept.size() - 1);
        }
    }
}
