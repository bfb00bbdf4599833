package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.LoadPermitDecision.Granted;
import io.oleandermoor.state.placement.LoadPermitDecision.Wait;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Permits to use the weight store, kept by the placement owner. Agents ask and are answered at once; a request that has
 * to wait is remembered, so that a less needed one does not overtake it. A permit ends when it is released or, if its
 * holder vanished, when it expires. Models are limited in rate and number, adapters in number only.
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class WeightStoreLimiter {
    private static final Comparator<LoadPermitRequest> MOST_NEEDED = Comparator.comparingInt(
                    LoadPermitRequest::otherCopies)
            .thenComparing(Comparator.comparingDouble(LoadPermitRequest::demand).reversed())
            .thenComparing(LoadPermitRequest::weights, Weights.ORDER)
            .thenComparing(LoadPermitRequest::upstream);

    private record Key(UpstreamId upstream, Weights weights) {}

    private record Waiting(LoadPermitRequest request, long endMillis) {}

    private WeightStoreLimits limits;
    private final long firstGrantMillis;
    private final Map<Key, Long> permits = new HashMap<>();
    private final Map<Key, Waiting> waiting = new HashMap<>();
    private double startable = 1;
    private long refilledMillis;

    /**
     * Creates a limiter without permits.
     *
     * @param limits the limits
     * @param firstGrantMillis before this time nothing is granted. A new placement owner passes the time of its
     *     election plus the validity of a permit, because it does not know the permits of the last owner.
     */
    public WeightStoreLimiter(WeightStoreLimits limits, long firstGrantMillis) {
        this.limits = limits;
        this.firstGrantMillis = firstGrantMillis;
        refilledMillis = firstGrantMillis;
    }

    /**
     * Changes the limits. Permits that were granted stay valid, so a lower number of loads is reached as they end.
     *
     * @param changed the limits from now on
     * @param nowMillis the time
     */
    public void change(WeightStoreLimits changed, long nowMillis) {
        advance(nowMillis);
        limits = changed;
        startable = Math.min(startable, Math.max(1, changed.modelLoadsPerSecond()));
    }

    /**
     * Decides about a load. Asking again while the permit is valid renews it, so a lost answer does no harm.
     *
     * @param request the wish
     * @param nowMillis the time
     * @return whether the load may start
     */
    public LoadPermitDecision request(LoadPermitRequest request, long nowMillis) {
        advance(nowMillis);
        Key key = new Key(request.upstream(), request.weights());
        if (permits.containsKey(key)) {
            permits.put(key, nowMillis + limits.permitMillis());
            return new Granted(limits.permitMillis());
        }
        waiting.put(key, new Waiting(request, nowMillis + limits.requestMillis()));
        boolean isAdapter = request.weights().isAdapter();
        long rank = waiting.values().stream()
                .map(Waiting::request)
                .filter(other -> other.weights().isAdapter() == isAdapter)
                .filter(other -> MOST_NEEDED.compare(other, request) < 0)
                .count();
        if (nowMillis < firstGrantMillis || rank >= startable(isAdapter)) {
            return new Wait(retryAfterMillis(isAdapter, nowMillis));
        }
        waiting.remove(key);
        permits.put(key, nowMillis + limits.permitMillis());
        startable -= isAdapter ? 0 : 1;
        return new Granted(limits.permitMillis());
    }

    /**
     * Ends a permit or withdraws a request.
     *
     * @param upstream the engine that asked
     * @param weights what it asked for
     * @param nowMillis the time
     */
    public void release(UpstreamId upstream, Weights weights, long nowMillis) {
        advance(nowMillis);
        permits.remove(new Key(upstream, weights));
        waiting.remove(new Key(upstream, weights));
    }

    /**
     * Returns how many loads could be granted now.
     *
     * @param nowMillis the time
     * @return the limits for {@link StepPlanner}
     */
    public StepLimits startable(long nowMillis) {
        advance(nowMillis);
        return nowMillis < firstGrantMillis
                ? new StepLimits(0, 0)
                : new StepLimits((int) startable(false), (int) startable(true));
    }

    /**
     * Returns the number of valid permits.
     *
     * @param adapters whether to count permits for adapters or those for models
     * @param nowMillis the time
     * @return the loads that may be in progress
     */
    public int inFlight(boolean adapters, long nowMillis) {
        advance(nowMillis);
        return (int) permits.keySet().stream()
                .filter(key -> key.weights().isAdapter() == adapters)
                .count();
    }

    private void advance(long nowMillis) {
        permits.values().removeIf(endMillis -> endMillis <= nowMillis);
        waiting.values().removeIf(entry -> entry.endMillis() <= nowMillis);
        if (nowMillis > refilledMillis) {
            double refill = (nowMillis - refilledMillis) * limits.modelLoadsPerSecond() / 1000;
            startable = Math.min(Math.max(1, limits.modelLoadsPerSecond()), startable + refill);
            refilledMillis = nowMillis;
        }
    }

    private long startable(boolean adapters) {
        long used = permits.keySet().stream()
                .filter(key -> key.weights().isAdapter() == adapters)
                .count();
        if (adapters) {
            return Math.max(0, limits.concurrentAdapterLoads() - used);
        }
        return Math.max(0, Math.min(limits.concurrentModelLoads() - used, (long) startable));
    }

    private long retryAfterMillis(boolean isAdapter, long nowMillis) {
        long untilFirst = Math.max(0, firstGrantMillis - nowMillis);
        double betweenStarts = isAdapter ? 1 : 1000 / limits.modelLoadsPerSecond();
        // A request is repeated before it is forgotten.
        return Math.min(limits.requestMillis() / 2 + 1, Math.max(1, untilFirst + (long) betweenStarts));
    }
}
