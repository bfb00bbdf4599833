package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.fleet.HostRoute;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Decides whether a request that no instance can take now waits at the entry or is refused at once. Answers bursts and
 * demand for models that nobody holds: a request whose place cannot come in time is refused at once with the time at
 * which it should come back, so that its caller keeps the rest of its own time for that.
 */
public final class WaitPolicy {

    /** Callers leave a stream that is silent for longer than this, or than the multiples below. */
    private static final long MINIMUM_FIRST_BYTE_TIMEOUT_MILLIS = 2_000;

    private static final long LATENCY_TARGETS_PER_TIMEOUT = 4;
    private static final long EVENT_INTERVALS_PER_TIMEOUT = 8;
    /** Share of a caller's patience within which a request must have been sent; the instance needs the rest. */
    private static final double MAXIMUM_QUEUE_TIME_RATIO = 0.6;
    /** Time from the first request for a model that nobody holds until its load begins, and for the load to be seen. */
    private static final long MODEL_LOAD_OVERHEAD_MILLIS = 1_200;

    /** Time from the first request for an adapter that nobody holds, whose model is held, until it is there. */
    private static final long ADAPTER_LOAD_MILLIS = 250;

    /** Time for the model that yields to end its runs, and for the prompt to be read. */
    private static final long URGENCY_MARGIN_MILLIS = 1_000;

    private static final long MINIMUM_RETRY_MILLIS = 200;
    /** The largest part of a pause by which callers are spread, so that they do not return together. */
    private static final double RETRY_JITTER_RATIO = 0.3;

    private WaitPolicy() {}

    /**
     * What to do with a request that has no place.
     *
     * @param waitMillis the time for which it waits; 0 if it is refused now
     * @param retryMillis when its caller should come back if it is refused, now or after the wait
     */
    public record Decision(long waitMillis, long retryMillis) {}

    /** Returns how long a caller waits for the first byte of an answer. */
    public static long firstByteTimeoutMillis(HostRoute route, long allowedMillis) {
        if (!route.streaming()) {
            return allowedMillis;
        }
        long patience = Math.max(
                MINIMUM_FIRST_BYTE_TIMEOUT_MILLIS,
                Math.max(
                        LATENCY_TARGETS_PER_TIMEOUT * route.latencyTargetMillis(),
                        EVENT_INTERVALS_PER_TIMEOUT * route.eventIntervalTargetMillis()));
        return Math.min(allowedMillis, patience);
    }

    /**
     * Decides.
     *
     * @param route the route
     * @param allowedMillis the time that the caller gave and the route allows
     * @param waitedMillis the time since the request came
     * @param expectedMillis the expected time until there is a place
     * @param draw a number from 0 to below 1 that belongs to the request
     */
    public static Decision decide(
            HostRoute route, long allowedMillis, long waitedMillis, long expectedMillis, double draw) {
        long latest = (long) (firstByteTimeoutMillis(route, allowedMillis) * MAXIMUM_QUEUE_TIME_RATIO);
        long left = latest - waitedMillis;
        long retry = (long) (Math.max(MINIMUM_RETRY_MILLIS, expectedMillis) * (1 + RETRY_JITTER_RATIO * draw));
        return new Decision(expectedMillis > left ? 0 : left, retry);
    }

    /**
     * Returns why a request has to wait; empty if it may take its place. A model that nobody holds is told as that,
     * whoever waits, as it counts as demand for its model; a place that is free belongs to those who came first.
     *
     * @param shortage why no instance can take the request, empty if one can
     * @param ahead the requests that wait for the same places and come first
     */
    public static Optional<Shortage> reasonToWait(Optional<Shortage> shortage, int ahead) {
        return shortage.isPresent() || ahead == 0 ? shortage : Optional.of(Shortage.FULL);
    }

    /**
     * Returns whether what a request waits for is needed now, or its first event comes too late. Answers batch requests
     * for models that take turns on few places. A place at an instance that holds the model is always needed now.
     *
     * @param route the route
     * @param shortage why it waits
     * @param waitedMillis the time since the request came
     * @param expectedMillis the time that it takes to get the model or adapter; asked for only where one is missing
     */
    public static boolean isUrgent(HostRoute route, Shortage shortage, long waitedMillis, LongSupplier expectedMillis) {
        return shortage != Shortage.NOT_RESIDENT
                || waitedMillis + expectedMillis.getAsLong() + URGENCY_MARGIN_MILLIS >= route.latencyTargetMillis();
    }

    /**
     * Returns the expected time until a model is there that nobody holds. A load that is overdue was not ordered when
     * the model was first asked for; it is expected to take as long again as it is overdue.
     *
     * @param loadMillis the time of its load
     * @param missingMillis the time since it was first asked for in vain
     */
    public static long expectedLoadMillis(long loadMillis, long missingMillis) {
        return Math.max(MINIMUM_RETRY_MILLIS, Math.abs(loadMillis + MODEL_LOAD_OVERHEAD_MILLIS - missingMillis));
    }

    /**
     * Returns the expected time until an adapter is there that nobody holds, though its model is held; as long again as
     * it has been missing where that is longer than usual, as where all places for adapters are in use.
     *
     * @param missingMillis the time since it was first asked for in vain
     */
    public static long expectedAdapterLoadMillis(long missingMillis) {
        return Math.max(ADAPTER_LOAD_MILLIS, missingMillis);
    }
}
