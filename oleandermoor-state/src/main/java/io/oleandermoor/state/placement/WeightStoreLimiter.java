package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.LoadPermitDecision.Deferred;
import io.oleandermoor.state.placement.LoadPermitDecision.Granted;
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
    private static final Comparator<LoadPermitRequest> MOST_URGENT_FIRST = Comparator.comparingInt(
                    LoadPermitRequest::otherCopies)
            .thenComparing(Comparator.comparingDouble(LoadPermitRequest::demand).reversed())
            .thenComparing(LoadPermitRequest::weights, Weights.ORDER)
            .thenComparing(LoadPermitRequest::upstream);

    private record PermitKey(UpstreamId upstream, Weights weights) {}

    private record PendingRequest(LoadPermitRequest request, long expiryMillis) {}

    private LoadPermitLimits limits;
    private final long earliestGrantMillis;
    private final Map<PermitKey, Long> permitExpiryMillis = new HashMap<>();
    private final Map<PermitKey, PendingRequest> pendingRequests = new HashMap<>();
    private double availableModelStarts = 1;
    private long lastRefillMillis;

    /**
     * Creates a limiter without permits.
     *
     * @param limits the limits
     * @param firstGrantMillis before this time nothing is granted. A new placement owner passes the time of its
     *     election plus the validity of a permit, because it does not know the permits of the last owner.
     */
    public WeightStoreLimiter(LoadPermitLimits limits, long firstGrantMillis) {
        this.limits = limits;
        this.earliestGrantMillis = firstGrantMillis;
        lastRefillMillis = firstGrantMillis;
    }

    /**
     * Changes the limits. Permits that were granted stay valid, so a lower number of loads is reached as they end.
     *
     * @param changed the limits from now on
     * @param nowMillis the time
     */
    public void updateLimits(LoadPermitLimits changed, long nowMillis) {
        expireAndRefill(nowMillis);
        limits = changed;
        availableModelStarts = Math.min(availableModelStarts, Math.max(1, changed.modelLoadsPerSecond()));
    }

    /**
     * Decides about a load. Asking again while the permit is valid renews it, so a lost answer does no harm.
     *
     * @param request the wish
     * @param nowMillis the time
     * @return whether the load may start
     */
    public LoadPermitDecision request(LoadPermitRequest request, long nowMillis) {
        expireAndRefill(nowMillis);
        PermitKey key = new PermitKey(request.upstream(), request.weights());
        if (permitExpiryMillis.containsKey(key)) {
            permitExpiryMillis.put(key, nowMillis + limits.permitMillis());
            return new Granted(limits.permitMillis());
        }
        pendingRequests.put(key, new PendingRequest(request, nowMillis + limits.requestMillis()));
        boolean isAdapter = request.weights().isAdapter();
        long rank = pendingRequests.values().stream()
                .map(PendingRequest::request)
                .filter(other -> other.weights().isAdapter() == isAdapter)
                .filter(other -> MOST_URGENT_FIRST.compare(other, request) < 0)
                .count();
        if (nowMillis < earliestGrantMillis || rank >= availableLoads(isAdapter)) {
            return new Deferred(retryAfterMillis(isAdapter, nowMillis));
        }
        pendingRequests.remove(key);
        permitExpiryMillis.put(key, nowMillis + limits.permitMillis());
        availableModelStarts -= isAdapter ? 0 : 1;
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
        expireAndRefill(nowMillis);
        permitExpiryMillis.remove(new PermitKey(upstream, weights));
        pendingRequests.remove(new PermitKey(upstream, weights));
    }

    /**
     * Returns how many loads could be granted now.
     *
     * @param nowMillis the time
     * @return the limits for {@link StepPlanner}
     */
    public StepLimits availableLoads(long nowMillis) {
        expireAndRefill(nowMillis);
        return nowMillis < earliestGrantMillis
                ? new StepLimits(0, 0)
                : new StepLimits((int) availableLoads(false), (int) availableLoads(true));
    }

    /**
     * Returns the number of valid permits.
     *
     * @param adapters whether to count permits for adapters or those for models
     * @param nowMillis the time
     * @return the loads that may be in progress
     */
    public int inFlight(boolean adapters, long nowMillis) {
        expireAndRefill(nowMillis);
        return (int) permitExpiryMillis.keySet().stream()
                .filter(key -> key.weights().isAdapter() == adapters)
                .count();
    }

    private void expireAndRefill(long nowMillis) {
        permitExpiryMillis.values().removeIf(endMillis -> endMillis <= nowMillis);
        pendingRequests.values().removeIf(entry -> entry.expiryMillis() <= nowMillis);
        if (nowMillis > lastRefillMillis) {
            double refill = (nowMillis - lastRefillMillis) * limits.modelLoadsPerSecond() / 1000;
            availableModelStarts = Math.min(Math.max(1, limits.modelLoadsPerSecond()), availableModelStarts + refill);
            lastRefillMillis = nowMillis;
        }
    }

    private long availableLoads(boolean adapters) {
        long used = permitExpiryMillis.keySet().stream()
                .filter(key -> key.weights().isAdapter() == adapters)
                .count();
        if (adapters) {
            return Math.max(0, limits.concurrentAdapterLoads() - used);
        }
        return Math.max(0, Math.min(limits.concurrentModelLoads() - used, (long) availableModelStarts));
    }

    private long retryAfterMillis(boolean isAdapter, long nowMillis) {
        long untilFirst = Math.max(0, earliestGrantMillis - nowMillis);
        double betweenStarts = isAdapter ? 1 : 1000 / limits.modelLoadsPerSecond();
        // A request is repeated before it is forgotten.
        return Math.min(limits.requestMillis() / 2 + 1, Math.max(1, untilFirst + (long) betweenStarts));
    }
}
