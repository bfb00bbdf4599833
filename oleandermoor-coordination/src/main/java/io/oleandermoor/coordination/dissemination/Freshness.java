package io.oleandermoor.coordination.dissemination;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * How long ago the configuration of this process was confirmed current by the key-value service, directly or through a
 * peer. Times are of this process's monotonic clock; what peers tell are ages, so no clocks are compared. A
 * confirmation of a version that this process does not have yet counts once it has that version.
 *
 * <p>Thread-safe. The lock is taken alone.
 */
public final class Freshness {

    private final Object lock = new Object();
    private final TreeMap<Long, Long> confirmedMillis = new TreeMap<>();
    private long version;

    /**
     * Records an answer of the service.
     *
     * @param confirmedVersion the version that the service named
     * @param sentMillis when the question was sent
     */
    public void confirm(long confirmedVersion, long sentMillis) {
        synchronized (lock) {
            confirmedMillis.merge(confirmedVersion, sentMillis, Math::max);
        }
    }

    /**
     * Records the answer of a peer.
     *
     * @param peer what the peer knows
     * @param sentMillis when the question was sent; the peer's age was measured later, so the age never looks smaller
     *     than it is, however long the answer took
     */
    public void confirm(ConfirmedVersion peer, long sentMillis) {
        // 2% for the drift of both clocks while the age grew
        confirm(peer.version(), sentMillis - peer.ageMillis() - peer.ageMillis() / 50);
    }

    /**
     * Records the version in force in this process.
     *
     * @param inForce the version
     */
    public void versionInForce(long inForce) {
        synchronized (lock) {
            version = Math.max(version, inForce);
        }
    }

    /**
     * Returns how long ago the configuration in force was confirmed to hold all accepted changes.
     *
     * @param nowMillis the present
     * @return the age in milliseconds, or empty if it was never confirmed
     */
    public OptionalLong ageMillis(long nowMillis) {
        synchronized (lock) {
            Map<Long, Long> usable = confirmedMillis.headMap(version, true);
            if (usable.isEmpty()) {
                return OptionalLong.empty();
            }
            long newest =
                    usable.values().stream().mapToLong(Long::longValue).max().orElseThrow();
            usable.clear();
            confirmedMillis.put(version, newest);
            return OptionalLong.of(Math.max(0, nowMillis - newest));
        }
    }

    /**
     * Returns what a peer may be told.
     *
     * @param nowMillis the present
     * @return version and age, or empty if the configuration was never confirmed
     */
    public Optional<ConfirmedVersion> confirmed(long nowMillis) {
        synchronized (lock) {
            OptionalLong age = ageMillis(nowMillis);
            return age.isPresent() ? Optional.of(new ConfirmedVersion(version, age.getAsLong())) : Optional.empty();
        }
    }
}
