package io.oleandermoor.state.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records crashes by the fingerprint of the requests to which they are attributed. The state does not depend on the
 * order of the reports or on repeated reports, unless the maximum number of fingerprints is reached. Thread-safe; the
 * lock has level 7 in the lock order.
 */
public final class CrashRegistry {

    /** Number of different crashes after which a fingerprint is blocked. */
    public static final int BLOCKING_CRASH_COUNT = 2;

    /** Duration of a block, and maximum time between the crashes that cause it, in milliseconds. */
    public static final long BLOCK_DURATION_MILLIS = 600_000;

    /** Maximum number of crashes per fingerprint. The two latest decide; two more allow for clock skew. */
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
     * @param maximumFingerprints the maximum number of fingerprints; if it is exceeded, the fingerprint whose latest
     *     crash is oldest is removed
     */
    public CrashRegistry(int maximumFingerprints) {
        if (maximumFingerprints < 1) {
            throw new IllegalArgumentException("maximumFingerprints must be positive, was " + maximumFingerprints);
        }
        this.maximumFingerprints = maximumFingerprints;
    }

    /**
     * Adds a crash that is attributed to a fingerprint.
     *
     * @param fingerprint the fingerprint of the requests
     * @param crash the crash to add
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
     * Adds the crashes that another process has recorded.
     *
     * @param other the crashes of the other process, by fingerprint
     */
    public void merge(Map<String, List<Crash>> other) {
        other.forEach((fingerprint, list) -> list.forEach(crash -> add(fingerprint, crash)));
    }

    /**
     * Returns whether requests with a fingerprint must be refused.
     *
     * @param fingerprint the fingerprint of the requests
     * @param nowEpochMillis the current wall-clock time, in milliseconds
     * @return true if two crashes within the block duration are attributed to it and the block has not ended
     */
    public boolean isBlocked(String fingerprint, long nowEpochMillis) {
        synchronized (lock) {
            List<Crash> kept = crashes.getOrDefault(fingerprint, List.of());
            for (int index = 0; index + BLOCKING_CRASH_COUNT <= kept.size(); index++) {
                long latest = kept.get(index).atEpochMillis();
                long earliest = kept.get(index + BLOCKING_CRASH_COUNT - 1).atEpochMillis();
                if (latest - earliest <= BLOCK_DURATION_MILLIS && nowEpochMillis < latest + BLOCK_DURATION_MILLIS) {
                    return true;
                }
            }
            return false;
        }
    }

    /**
     * Returns whether requests with a fingerprint may have caused a recent crash. A crash that is also attributed to
     * another, blocked fingerprint counts as explained, because requests with the blocked fingerprint do not run again.
     *
     * @param fingerprint the fingerprint of the requests
     * @param nowEpochMillis the current wall-clock time, in milliseconds
     * @return true if an unexplained crash within the block duration is attributed to it
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
     * Removes fingerprints whose crashes can no longer cause a block.
     *
     * @param nowEpochMillis the current wall-clock time, in milliseconds
     */
    public void expire(long nowEpochMillis) {
        synchronized (lock) {
            crashes.values()
                    .removeIf(kept -> nowEpochMillis - kept.get(0).atEpochMillis() >= 2 * BLOCK_DURATION_MILLIS);
        }
    }

    /**
     * Returns a snapshot of all crashes, to be merged by another process.
     *
     * @return a copy of the crashes by fingerprint
     */
    public Map<String, List<Crash>> snapshot() {
        synchronized (lock) {
            Map<String, List<Crash>> copy = new HashMap<>();
            crashes.forEach((fingerprint, list) -> copy.put(fingerprint, List.copyOf(list)));
            return Map.copyOf(copy);
        }
    }

    /**
     * Adds a crash unless it is known. If a crash is reported with two times, the later time is kept. A crash that was
     * removed in favor of later ones thus stays removed, and the result does not depend on the order of the reports.
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
