package io.oleandermoor.state.routing;

import java.util.Arrays;
import java.util.function.BooleanSupplier;

/**
 * Ejects upstreams that fail repeatedly or are much slower than the others. When the ejection time has passed, the
 * upstream is probed with one request at a time: success makes it available again, failure starts a longer ejection.
 * The state is kept per upstream and modified only under the lock of the routing table.
 */
public final class OutlierDetector {

    /** Time without a new ejection after which the next ejection has the base duration again, in milliseconds. */
    private static final long EJECTION_COUNT_RESET_MILLIS = 600_000;

    /** Maximum number of other copies to compare latency with, so that the cost does not grow with the fleet. */
    private static final int MAXIMUM_COMPARED_COPIES = 8;

    /** Prevents overflow when the base duration of an ejection is shifted left. */
    private static final int MAXIMUM_DOUBLINGS = 20;

    private final OutlierSettings settings;

    /** Whether an upstream may receive a request. */
    enum Availability {
        AVAILABLE,
        PROBE,
        EJECTED
    }

    /**
     * Creates a detector.
     *
     * @param settings the limits of outlier ejection
     */
    public OutlierDetector(OutlierSettings settings) {
        this.settings = settings;
    }

    Availability availability(UpstreamHealth health, long nowMillis) {
        if (nowMillis < health.ejectedUntilMillis) {
            return Availability.EJECTED;
        }
        if (!health.probing) {
            return Availability.AVAILABLE;
        }
        boolean probePending =
                health.probeInFlight && nowMillis - health.probeSentMillis < settings.probeTimeoutMillis();
        return probePending ? Availability.EJECTED : Availability.PROBE;
    }

    void recordSend(UpstreamHealth health, long nowMillis) {
        if (health.probing && nowMillis >= health.ejectedUntilMillis) {
            health.probeSentMillis = nowMillis;
            health.probeInFlight = true;
        }
    }

    /** Records a success. A success during an ejection belongs to a request sent before it and is ignored. */
    void recordSuccess(UpstreamHealth health, long nowMillis) {
        if (nowMillis >= health.ejectedUntilMillis) {
            health.probing = false;
            health.probeInFlight = false;
            health.consecutiveFailures = 0;
        }
    }

    /** Records a failure and returns whether it caused the upstream to be ejected. */
    boolean recordFailure(UpstreamHealth health, long nowMillis, BooleanSupplier ejectionAllowed) {
        if (nowMillis < health.ejectedUntilMillis) {
            return false;
        }
        health.consecutiveFailures++;
        if (!health.probing && health.consecutiveFailures < settings.consecutiveFailures()) {
            return false;
        }
        return eject(health, nowMillis, ejectionAllowed);
    }

    boolean eject(UpstreamHealth health, long nowMillis, BooleanSupplier ejectionAllowed) {
        if (!ejectionAllowed.getAsBoolean()) {
            health.endEjection();
            return false;
        }
        if (health.ejectionCount > 0 && nowMillis - health.lastEjectionMillis > EJECTION_COUNT_RESET_MILLIS) {
            health.ejectionCount = 0;
        }
        int doublings = Math.min(health.ejectionCount, MAXIMUM_DOUBLINGS);
        long durationMillis = Math.min(settings.maximumEjectionMillis(), settings.baseEjectionMillis() << doublings);
        health.ejectionCount++;
        health.lastEjectionMillis = nowMillis;
        health.consecutiveFailures = 0;
        health.probeInFlight = false;
        health.probing = true;
        health.ejectedUntilMillis = nowMillis + durationMillis;
        return true;
    }

    /**
     * Returns whether the latency of a copy exceeds the limit derived from the median of other copies in the group. The
     * other copies are sampled starting at the given index.
     */
    boolean isSlow(ReadyCopy copy, CopyGroup group, int startIndex) {
        if (copy.latencySampleCount() < settings.minimumLatencySamples()) {
            return false;
        }
        double[] otherLatencies = new double[MAXIMUM_COMPARED_COPIES];
        int sampleCount = 0;
        int examined = Math.min(group.all.length, MAXIMUM_COMPARED_COPIES + 1);
        for (int step = 0; step < examined && sampleCount < MAXIMUM_COMPARED_COPIES; step++) {
            ReadyCopy other = group.all[Math.floorMod(startIndex + step, group.all.length)];
            if (other != copy && other.latencySampleCount() >= settings.minimumLatencySamples()) {
                otherLatencies[sampleCount++] = other.averageLatencyMillis();
            }
        }
        if (sampleCount == 0) {
            return false;
        }
        Arrays.sort(otherLatencies, 0, sampleCount);
        double medianMillis = otherLatencies[(sampleCount - 1) / 2];
        double limitMillis = Math.max(
                medianMillis * settings.latencyRatio(), medianMillis + settings.minimumLatencyDifferenceMillis());
        return copy.averageLatencyMillis() > limitMillis;
    }
}
