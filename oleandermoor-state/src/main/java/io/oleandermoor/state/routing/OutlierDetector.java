package io.oleandermoor.state.routing;

import java.util.Arrays;
import java.util.function.BooleanSupplier;

/**
 * Decides which upstreams are ejected because they fail or are much slower than the others. After an ejection one
 * request at a time probes the upstream; its success ends the ejection and its failure starts a longer one. The state
 * is kept for each upstream and changed only under the lock of the routing table.
 */
public final class OutlierDetector {

    /** Time without a new ejection after which earlier ones no longer lengthen the next, in milliseconds. */
    private static final long EJECTION_COUNT_RESET_MILLIS = 600_000;

    /** Number of other copies whose latency is compared, so that the cost does not grow with the fleet. */
    private static final int MAXIMUM_COMPARED_COPIES = 8;

    /** Keeps the shifted length of an ejection within a long. */
    private static final int MAXIMUM_DOUBLINGS = 20;

    private final OutlierSettings settings;

    /** Whether an upstream may get a request. */
    enum Availability {
        AVAILABLE,
        PROBE,
        EJECTED
    }

    /**
     * Creates a detector.
     *
     * @param settings the limits
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
        boolean waiting = health.probeInFlight && nowMillis - health.probeSentMillis < settings.probeTimeoutMillis();
        return waiting ? Availability.EJECTED : Availability.PROBE;
    }

    void recordSend(UpstreamHealth health, long nowMillis) {
        if (health.probing && nowMillis >= health.ejectedUntilMillis) {
            health.probeSentMillis = nowMillis;
            health.probeInFlight = true;
        }
    }

    /** Takes a success. A success during an ejection belongs to earlier work and changes nothing. */
    void recordSuccess(UpstreamHealth health, long nowMillis) {
        if (nowMillis >= health.ejectedUntilMillis) {
            health.probing = false;
            health.probeInFlight = false;
            health.consecutiveFailures = 0;
        }
    }

    /** Takes a failure and returns whether it ejected the upstream. */
    boolean recordFailure(UpstreamHealth health, long nowMillis, BooleanSupplier permitted) {
        if (nowMillis < health.ejectedUntilMillis) {
            return false;
        }
        health.consecutiveFailures++;
        if (!health.probing && health.consecutiveFailures < settings.consecutiveFailures()) {
            return false;
        }
        return eject(health, nowMillis, permitted);
    }

    boolean eject(UpstreamHealth health, long nowMillis, BooleanSupplier permitted) {
        if (!permitted.getAsBoolean()) {
            health.endEjection();
            return false;
        }
        if (health.ejectionCount > 0 && nowMillis - health.lastEjectionMillis > EJECTION_COUNT_RESET_MILLIS) {
            health.ejectionCount = 0;
        }
        int doublings = Math.min(health.ejectionCount, MAXIMUM_DOUBLINGS);
        long length = Math.min(settings.maximumEjectionMillis(), settings.baseEjectionMillis() << doublings);
        health.ejectionCount++;
        health.lastEjectionMillis = nowMillis;
        health.consecutiveFailures = 0;
        health.probeInFlight = false;
        health.probing = true;
        health.ejectedUntilMillis = nowMillis + length;
        return true;
    }

    /** Returns whether a copy is much slower than a sample of the others, starting at the given index. */
    boolean isSlow(ReadyCopy copy, CopyGroup group, int start) {
        if (copy.latencySampleCount() < settings.minimumLatencySamples()) {
            return false;
        }
        double[] others = new double[MAXIMUM_COMPARED_COPIES];
        int found = 0;
        int examined = Math.min(group.all.length, MAXIMUM_COMPARED_COPIES + 1);
        for (int step = 0; step < examined && found < MAXIMUM_COMPARED_COPIES; step++) {
            ReadyCopy other = group.all[Math.floorMod(start + step, group.all.length)];
            if (other != copy && other.latencySampleCount() >= settings.minimumLatencySamples()) {
                others[found++] = other.averageLatencyMillis();
            }
        }
        if (found == 0) {
            return false;
        }
        Arrays.sort(others, 0, found);
        double median = others[(found - 1) / 2];
        double limit = Math.max(median * settings.latencyRatio(), median + settings.minimumLatencyDifferenceMillis());
        return copy.averageLatencyMillis() > limit;
    }
}
