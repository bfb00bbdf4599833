package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** What an entry knows of one start of an instance. Not safe for use by several threads. */
public final class InstanceState {

    /** Time for which an instance is left alone after its first failure; doubles with each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 400;

    private static final long MAXIMUM_BACKOFF_MILLIS = 3_000;
    /** Failures in a row after which an instance is left alone. */
    private static final int FAILURES_BEFORE_BACKOFF = 3;
    /** Weight of the newest result in the failure rate. */
    private static final double FAILURE_RATE_WEIGHT = 0.15;
    /** Time in which a failure rate without new results falls to a half. */
    private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 2_000;
    /** Weight of the newest gap in the pace of an instance: some ten events show a change. */
    private static final double EVENT_INTERVAL_WEIGHT = 0.1;
    /** Time for which a target that the instance declined counts as absent. */
    private static final long DECLINED_TARGET_MILLIS = 400;
    /** Time for which what the giver of orders told goes before what the instance says; longer than its reports. */
    private static final long ORDERED_MODELS_PRECEDENCE_MILLIS = 1_500;
    /** Prompt parts that are remembered for one instance. */
    private static final int MAXIMUM_CACHED_PREFIXES = 2_000;

    private UpstreamInstance instance;
    private Map<String, Set<String>> models;
    private long orderedModelsMillis = Long.MIN_VALUE / 2;
    private int localLoad;
    private long pendingPrefillTokens;
    private final EventIntervalAverage eventInterval = new EventIntervalAverage(EVENT_INTERVAL_WEIGHT);
    private int consecutiveFailures;
    private long backoffUntilMillis = Long.MIN_VALUE;
    private double failureRate;
    private long failureRateUpdatedMillis;
    private final Map<ModelTarget, Long> declinedUntilMillis = new HashMap<>();
    private final Map<Long, Boolean> cachedPrefixKeys = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAXIMUM_CACHED_PREFIXES;
        }
    };

    InstanceState(UpstreamInstance instance, int ownLoad) {
        this.instance = instance;
        this.models = instance.models();
        this.localLoad = ownLoad;
    }

    void updateDescription(UpstreamInstance next, long nowMillis) {
        instance = next;
        updateModels(next, nowMillis);
    }

    /** What an instance says of itself is older than what the giver of orders tells, as long as that one is heard. */
    private void updateModels(UpstreamInstance next, long nowMillis) {
        boolean toldLately = nowMillis - orderedModelsMillis < ORDERED_MODELS_PRECEDENCE_MILLIS;
        if (!toldLately) {
            models = next.models();
        }
    }

    /**
     * Takes over what the entry that gives orders tells.
     *
     * @param held the adapters of each model
     * @param nowMillis the time
     * @return whether anything changed
     */
    public boolean updateOrderedModels(Map<String, Set<String>> held, long nowMillis) {
        orderedModelsMillis = nowMillis;
        if (models.equals(held)) {
            return false;
        }
        models = Map.copyOf(held);
        declinedUntilMillis.clear();
        return true;
    }

    /** Returns the instance as it described itself last. */
    public UpstreamInstance instance() {
        return instance;
    }

    /** Returns the adapters of each model that the instance holds. */
    public Map<String, Set<String>> models() {
        return models;
    }

    /** Returns the requests that this entry has at the instance. */
    public int localLoad() {
        return localLoad;
    }

    /** Counts a request that is sent. */
    public void requestSent() {
        localLoad++;
    }

    /** Counts a request that has ended. */
    public void requestEnded() {
        localLoad = Math.max(0, localLoad - 1);
    }

    /** Counts a prompt that is sent and of whose answer nothing has come yet. */
    public void prefillStarted(long tokens) {
        pendingPrefillTokens += tokens;
    }

    /** Counts a prompt that has been read, or whose request has ended. */
    public void prefillEnded(long tokens) {
        pendingPrefillTokens = Math.max(0, pendingPrefillTokens - tokens);
    }

    /** Returns the prompt tokens that this entry has sent and that the instance has not answered yet. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Returns whether new requests may be sent. */
    public boolean usable(long nowMillis) {
        return !instance.draining() && nowMillis >= backoffUntilMillis;
    }

    boolean holds(ModelTarget target, long nowMillis) {
        Set<String> adapters = models.get(target.model());
        if (adapters == null || (target.isAdapter() && !adapters.contains(target.adapter()))) {
            return false;
        }
        Long until = declinedUntilMillis.get(target);
        return until == null || until <= nowMillis;
    }

    /** Records that the instance does not hold a target, or not yet. */
    public void recordMissingTarget(ModelTarget target, long nowMillis) {
        declinedUntilMillis.values().removeIf(until -> until <= nowMillis);
        declinedUntilMillis.put(target, nowMillis + DECLINED_TARGET_MILLIS);
    }

    /** Records an answer that was a success. */
    public void recordSuccess(long nowMillis) {
        consecutiveFailures = 0;
        recordResult(0, nowMillis);
    }

    /** Records an answer that was a failure of the instance. */
    public void recordFailure(long nowMillis) {
        recordResult(1, nowMillis);
    }

    /** Records a connection that could not be opened, was lost or stayed silent. */
    public void recordConnectionLoss(long nowMillis) {
        recordResult(1, nowMillis);
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
            startBackoff(nowMillis);
        }
    }

    /** Records that no connection could be opened; nothing was sent. */
    public void recordUnreachable(long nowMillis) {
        consecutiveFailures++;
        startBackoff(nowMillis);
    }

    private void startBackoff(long nowMillis) {
        long pause = INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures - 1, 3);
        backoffUntilMillis = nowMillis + Math.min(MAXIMUM_BACKOFF_MILLIS, pause);
    }

    private void recordResult(double failure, long nowMillis) {
        failureRate = failureRate(nowMillis) * (1 - FAILURE_RATE_WEIGHT) + failure * FAILURE_RATE_WEIGHT;
        failureRateUpdatedMillis = nowMillis;
    }

    EventIntervalAverage eventInterval() {
        return eventInterval;
    }

    /** Returns the recent share of failures, from 0 to 1. */
    public double failureRate(long nowMillis) {
        double age = Math.max(0, nowMillis - failureRateUpdatedMillis);
        return failureRate * Math.pow(0.5, age / FAILURE_RATE_HALF_LIFE_MILLIS);
    }

    /** Records the parts of a prompt that the instance has read. */
    public void recordCachedPrefixes(Prompt prompt) {
        prompt.prefixKeys().forEach(key -> cachedPrefixKeys.put(key, true));
    }

    /** Returns the tokens at the start of a prompt that the instance has read for an earlier request. */
    long cachedPrefixTokens(Prompt prompt) {
        long kept = 0;
        for (int part = 0; part < prompt.prefixKeys().size(); part++) {
            if (!cachedPrefixKeys.containsKey(prompt.prefixKeys().get(part))) {
                break;
            }
            kept += prompt.partTokens().get(part);
        }
        return kept;
    }
}
