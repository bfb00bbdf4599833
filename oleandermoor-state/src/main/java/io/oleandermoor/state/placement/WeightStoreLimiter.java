package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.LoadPermitDecision.Deferred;
import io.oleandermoor.state.placement.LoadPermitDecision.Granted;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Grants permits to load from the weight store. Used by the placement owner. A request is answered immediately; a
 * deferred request stays pending until it expires, so that a less urgent one is not granted before it. A permit ends
 * when it is released or, if its holder has failed, when it expires. Model loads are limited in rate and concurrency,
 * adapter loads in concurrency only.
 *
 * <p>Times are milliseconds of a monotonic clock. Not thread-safe.
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
     * Creates a limiter that has granted no permits.
     *
     * @param limits the limits
     * @param earliestGrantMillis time before which no permit is granted. A new placement owner passes the time of its
     *     election plus the validity of a permit, because it does not know the permits of the previous owner.
     */
    public WeightStoreLimiter(LoadPermitLimits limits, long earliestGrantMillis) {
        this.limits = limits;
        this.earliestGrantMillis = earliestGrantMillis;
        lastRefillMillis = earliestGrantMillis;
    }

    /**
     * Updates the limits. Granted permits stay valid, so a lower limit takes effect as they end.
     *
     * @param newLimits the new limits
     * @param nowMillis the current time
     */
    public void updateLimits(LoadPermitLimits newLimits, long nowMillis) {
        expireAndRefill(nowMillis);
        limits = newLimits;
        availableModelStarts = Math.min(availableModelStarts, Math.max(1, newLimits.modelLoadsPerSecond()));
    }

    /**
     * Grants or defers a load. Repeating the request while the permit is valid renews it, so an answer may be lost.
     *
     * @param request the request
     * @param nowMillis the current time
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
     * @param upstream the engine that sent the request
     * @param weights the requested model or adapter
     * @param nowMillis the current time
     */
    public void release(UpstreamId upstream, Weights weights, long nowMillis) {
        expireAndRefill(nowMillis);
        permitExpiryMillis.remove(new PermitKey(upstream, weights));
        pendingRequests.remove(new PermitKey(upstream, weights));
    }

    /**
     * Returns how many loads can currently be granted.
     *
     * @param nowMillis the current time
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
     * @param adapters true to count permits for adapters, false to count permits for models
     * @param nowMillis the current time
     * @return the number of loads that may be in progress
     */
    public int inFlight(boolean adapters, long nowMillis) {
        expireAndRefill(nowMillis);
        return (int) permitExpiryMillis.keySet().stream()
                .filter(key -> key.weights().isAdapter() == adapters)
                .count();
    }

    private void expireAndRefill(long nowMillis) {
        permitExpiryMillis.values().removeIf(endMillis -> endMillis <= nowMillis);
        pendingRequests.values().removeIf(pending -> pending.expiryMillis() <= nowMillis);
        if (nowMillis > lastRefillMillis) {
            double refill = (nowMillis - lastRefillMillis) * limits.modelLoadsPerSecond() / 1000;
            availableModelStarts = Math.min(Math.max(1, limits.modelLoadsPerSecond()), availableModelStarts + refill);
            lastRefillMillis = nowMillis;
        }
    }

    private long availableLoads(boolean adapters) {
        long inFlight = permitExpiryMillis.keySet().stream()
                .filter(key -> key.weights().isAdapter() == adapters)
                .count();
        if (adapters) {
            return Math.max(0, limits.concurrentAdapterLoads() - inFlight);
        }
        return Math.max(0, Math.min(limits.concurrentModelLoads() - inFlight, (long) availableModelStarts));
    }

    private long retryAfterMillis(boolean isAdapter, long nowMillis) {
        long untilEarliestGrant = Math.max(0, earliestGrantMillis - nowMillis);
        double startIntervalMillis = isAdapter ? 1 : 1000 / limits.modelLoadsPerSecond();
        // The request is repeated before it expires.
        return Math.min(limits.requestMillis() / 2 + 1, Math.max(1, untilEarliestGrant + (long) startIntervalMillis));
    }
}
