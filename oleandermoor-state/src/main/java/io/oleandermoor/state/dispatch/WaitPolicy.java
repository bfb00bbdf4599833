package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.fleet.HostRoute;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Decides whether a request that no instance can accept is queued at the entry or refused immediately. A request that
 * cannot start in time, because of a burst or because no instance holds its model, is refused immediately with a retry
 * time, so that the caller can use the rest of its own deadline for the retry.
 */
public final class WaitPolicy {

    /** Minimum time that callers wait for the first event of a stream; the multiples below may extend it. */
    private static final long MINIMUM_FIRST_BYTE_TIMEOUT_MILLIS = 2_000;

    /** The time that callers wait for the first event, as a multiple of the latency target. */
    private static final long LATENCY_TARGETS_PER_TIMEOUT = 4;
    /** The time that callers wait for the first event, as a multiple of the event interval target. */
    private static final long EVENT_INTERVALS_PER_TIMEOUT = 8;
    /** Maximum queue time as a ratio of the first byte timeout; the instance needs the rest. */
    private static final double MAXIMUM_QUEUE_TIME_RATIO = 0.6;
    /**
     * Time between the first request for a missing model and the start of its load, plus the time to observe its end.
     */
    private static final long MODEL_LOAD_OVERHEAD_MILLIS = 1_200;

    /** Time between the first request for a missing adapter of a held model and the end of its load. */
    private static final long ADAPTER_LOAD_MILLIS = 250;

    /** Time for the requests of the evicted model to finish and for the prompt to be processed. */
    private static final long URGENCY_MARGIN_MILLIS = 1_000;

    private static final long MINIMUM_RETRY_MILLIS = 200;
    /** Maximum jitter relative to the retry time, so that callers do not retry at the same time. */
    private static final double RETRY_JITTER_RATIO = 0.3;

    private WaitPolicy() {}

    /**
     * The decision for a request that has no slot.
     *
     * @param waitMillis the maximum queue time; 0 if the request is refused immediately
     * @param retryMillis the time after which the caller should retry if the request is refused, now or after the wait
     */
    public record Decision(long waitMillis, long retryMillis) {}

    /** Returns the time that a caller waits for the first byte of a response. */
    public static long firstByteTimeoutMillis(HostRoute route, long allowedMillis) {
        if (!route.streaming()) {
            return allowedMillis;
        }
        long timeoutMillis = Math.max(
                MINIMUM_FIRST_BYTE_TIMEOUT_MILLIS,
                Math.max(
                        LATENCY_TARGETS_PER_TIMEOUT * route.latencyTargetMillis(),
                        EVENT_INTERVALS_PER_TIMEOUT * route.eventIntervalTargetMillis()));
        return Math.min(allowedMillis, timeoutMillis);
    }

    /**
     * Returns how long a request is queued and when its caller should retry.
     *
     * @param route the route of the request
     * @param allowedMillis the time allowed by both the caller's deadline and the route's timeout
     * @param waitedMillis the time since the request arrived
     * @param expectedMillis the expected time until a slot is available
     * @param jitter a number from 0 (inclusive) to 1 (exclusive) that is derived from the request
     */
    public static Decision decide(
            HostRoute route, long allowedMillis, long waitedMillis, long expectedMillis, double jitter) {
        long maximumQueueMillis = (long) (firstByteTimeoutMillis(route, allowedMillis) * MAXIMUM_QUEUE_TIME_RATIO);
        long remainingMillis = maximumQueueMillis - waitedMillis;
        long retryMillis = (long) (Math.max(MINIMUM_RETRY_MILLIS, expectedMillis) * (1 + RETRY_JITTER_RATIO * jitter));
        return new Decision(expectedMillis > remainingMillis ? 0 : remainingMillis, retryMillis);
    }

    /**
     * Returns why a request must wait; empty if it may use a free slot. A missing model is always reported as missing,
     * even when other requests are queued, because the request counts as demand for the model. Free slots are assigned
     * in queue order.
     *
     * @param shortage why no instance can accept the request, empty if one can
     * @param requestsAhead the number of queued requests for the same slots that are served earlier
     */
    public static Optional<Shortage> reasonToWait(Optional<Shortage> shortage, int requestsAhead) {
        return shortage.isPresent() || requestsAhead == 0 ? shortage : Optional.of(Shortage.FULL);
    }

    /**
     * Returns whether a request misses its latency target unless it gets its resource now. Batch requests that have
     * time for a later load are not urgent, so that they do not cause a few instances to exchange their models
     * repeatedly. A request for a slot at an instance that holds the model is always urgent.
     *
     * @param route the route of the request
     * @param shortage why the request waits
     * @param waitedMillis the time since the request arrived
     * @param expectedMillis supplies the expected time to load the model or adapter; called only if one is missing
     */
    public static boolean isUrgent(HostRoute route, Shortage shortage, long waitedMillis, LongSupplier expectedMillis) {
        return shortage != Shortage.NOT_RESIDENT
                || waitedMillis + expectedMillis.getAsLong() + URGENCY_MARGIN_MILLIS >= route.latencyTargetMillis();
    }

    /**
     * Returns the expected time until a missing model is loaded. A load that is overdue was not ordered when the model
     * was first requested; it is expected to take as much longer as it is already overdue.
     *
     * @param loadMillis the load time of the model
     * @param missingMillis the time since the first request that found the model missing
     */
    public static long expectedLoadMillis(long loadMillis, long missingMillis) {
        return Math.max(MINIMUM_RETRY_MILLIS, Math.abs(loadMillis + MODEL_LOAD_OVERHEAD_MILLIS - missingMillis));
    }

    /**
     * Returns the expected time until a missing adapter of a held model is loaded. An adapter that is missing for
     * longer than the usual load time, for example because all adapter slots are in use, is expected to take as long
     * again.
     *
     * @param missingMillis the time since the first request that found the adapter missing
     */
    public static long expectedAdapterLoadMillis(long missingMillis) {
        return Math.max(ADAPTER_LOAD_MILLIS, missingMillis);
    }
}
