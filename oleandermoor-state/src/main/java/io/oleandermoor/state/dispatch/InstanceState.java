package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The state that an entry tracks for one run of an instance, from its start to its end. Not thread-safe. */
public final class InstanceState {

    /** Backoff after the first connection failure; doubles with each further consecutive failure. */
    private static final long INITIAL_BACKOFF_MILLIS = 400;

    private static final long MAXIMUM_BACKOFF_MILLIS = 3_000;
    /** Consecutive lost connections after which an instance is not used during a backoff. */
    private static final int FAILURES_BEFORE_BACKOFF = 3;
    /** Consecutive failures to reach an instance, which refuses connections or is silent, before it counts as gone. */
    private static final int UNREACHABLE_BEFORE_GONE = 2;
    /** Weight of the latest result in the failure rate. */
    private static final double FAILURE_RATE_WEIGHT = 0.15;
    /** Time in which the failure rate halves without new results. */
    private static final double FAILURE_RATE_HALF_LIFE_MILLIS = 2_000;
    /** Weight of the latest interval in the average of an instance: about ten events show a change. */
    private static final double EVENT_INTERVAL_WEIGHT = 0.1;
    /** Time for which a target that the instance declined is treated as not held. */
    private static final long DECLINED_TARGET_MILLIS = 400;
    /**
     * Time for which the models reported by the entry that orders loads take precedence over those in the instance's
     * own description; longer than the interval between reports.
     */
    private static final long ORDERED_MODELS_PRECEDENCE_MILLIS = 1_500;
    /** Maximum number of prompt prefixes that are tracked for an instance; the least recently used is evicted. */
    private static final int MAXIMUM_CACHED_PREFIXES = 2_000;

    private final RunContact contact;
    private UpstreamInstance instance;
    private Map<String, Set<String>> models;
    private long orderedModelsMillis = Long.MIN_VALUE / 2;
    private int localLoad;
    private long pendingPrefillTokens;
    private final StreamPauses streamPauses = new StreamPauses();
    private final EventIntervalAverage eventInterval = new EventIntervalAverage(EVENT_INTERVAL_WEIGHT);
    private int consecutiveFailures;
    private int consecutiveUnreachable;
    private boolean replaced;
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

    InstanceState(UpstreamInstance instance, int localLoad, RunContact contact) {
        this.contact = contact;
        this.instance = instance;
        this.models = instance.models();
        this.localLoad = localLoad;
    }

    void updateDescription(UpstreamInstance next, long nowMillis) {
        instance = next;
        updateModels(next, nowMillis);
    }

    /** Uses the described models, unless the entry that orders loads has recently reported newer ones. */
    private void updateModels(UpstreamInstance next, long nowMillis) {
        boolean orderedRecently = nowMillis - orderedModelsMillis < ORDERED_MODELS_PRECEDENCE_MILLIS;
        if (!orderedRecently) {
            models = next.models();
        }
    }

    /**
     * Replaces the models that the instance holds by those that the entry that orders loads reports.
     *
     * @param held the held models with their adapters
     * @param nowMillis the current time
     * @return whether the models changed
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

    /** Returns what is known about whether the instance still is this run. */
    public RunContact contact() {
        return contact;
    }

    /** Returns the latest description of the instance. */
    public UpstreamInstance instance() {
        return instance;
    }

    /** Returns the models that the instance holds, each with its adapters. */
    public Map<String, Set<String>> models() {
        return models;
    }

    /** Returns the number of requests that this entry has in flight at the instance. */
    public int localLoad() {
        return localLoad;
    }

    /** Adds a request that is sent to the load. */
    public void requestSent() {
        localLoad++;
    }

    /** Removes a request that has ended from the load. */
    public void requestEnded() {
        localLoad = Math.max(0, localLoad - 1);
    }

    /** Adds the tokens of a prompt that is sent, whose response has not started. */
    public void prefillStarted(long tokens) {
        pendingPrefillTokens += tokens;
    }

    /** Removes the tokens of a prompt whose response has started, or whose request has ended. */
    public void prefillEnded(long tokens) {
        pendingPrefillTokens = Math.max(0, pendingPrefillTokens - tokens);
    }

    /** Returns the prompt tokens that this entry has sent and whose responses have not started. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Returns whether the instance can probably be reached. */
    boolean usable(long nowMillis) {
        return !replaced && nowMillis >= backoffUntilMillis;
    }

    /**
     * Returns whether the instance has probably ended, although it is still listed: another instance has its address,
     * or it could repeatedly not be reached since its last complete response.
     */
    public boolean probablyGone() {
        return replaced || consecutiveUnreachable >= UNREACHABLE_BEFORE_GONE;
    }

    /** Records that another instance, which started later, has the address of this one. */
    void recordReplacement() {
        replaced = true;
    }

    boolean holds(ModelTarget target, long nowMillis) {
        Set<String> adapters = models.get(target.model());
        if (adapters == null || (target.isAdapter() && !adapters.contains(target.adapter()))) {
            return false;
        }
        Long untilMillis = declinedUntilMillis.get(target);
        return untilMillis == null || untilMillis <= nowMillis;
    }

    /** Records that the instance declined a request because it does not hold the target. */
    public void recordMissingTarget(ModelTarget target, long nowMillis) {
        declinedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        declinedUntilMillis.put(target, nowMillis + DECLINED_TARGET_MILLIS);
    }

    /** Records a successful response. */
    public void recordSuccess(long nowMillis) {
        consecutiveFailures = 0;
        consecutiveUnreachable = 0;
        recordResult(0, nowMillis);
    }

    /** Records a response that reports a failure of the instance. */
    public void recordFailure(long nowMillis) {
        consecutiveUnreachable = 0;
        recordResult(1, nowMillis);
    }

    /** Records a connection that was lost or that stayed silent for too long. */
    public void recordConnectionLoss(long nowMillis) {
        recordResult(1, nowMillis);
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
            startBackoff(nowMillis);
        }
    }

    /** Records that no connection could be opened, so that nothing was sent. */
    public void recordUnreachable(long nowMillis) {
        consecutiveFailures++;
        consecutiveUnreachable++;
        contact.recordLost(nowMillis);
        startBackoff(nowMillis);
    }

    private void startBackoff(long nowMillis) {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures - 1, 3);
        backoffUntilMillis = nowMillis + Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis);
    }

    private void recordResult(double failure, long nowMillis) {
        failureRate = failureRate(nowMillis) * (1 - FAILURE_RATE_WEIGHT) + failure * FAILURE_RATE_WEIGHT;
        failureRateUpdatedMillis = nowMillis;
    }

    StreamPauses streamPauses() {
        return streamPauses;
    }

    /**
     * Records an event of a stream whose caller reads it.
     *
     * @param stream a number that identifies the stream in this entry
     * @param intervalTargetMillis the longest time until the next event with which the stream is still in time
     * @param nowMillis the current time
     */
    public void recordStreamProgress(long stream, long intervalTargetMillis, long nowMillis) {
        streamPauses.recordEvent(stream, intervalTargetMillis, nowMillis);
    }

    /** Records that a stream has ended or is not read by its caller. */
    public void forgetStream(long stream) {
        streamPauses.remove(stream);
    }

    EventIntervalAverage eventInterval() {
        return eventInterval;
    }

    /** Returns the average of recent results, from 0 for only successes to 1 for only failures. */
    public double failureRate(long nowMillis) {
        double ageMillis = Math.max(0, nowMillis - failureRateUpdatedMillis);
        return failureRate * Math.pow(0.5, ageMillis / FAILURE_RATE_HALF_LIFE_MILLIS);
    }

    /** Records the prefixes of a prompt that the instance has processed. */
    public void recordCachedPrefixes(Prompt prompt) {
        prompt.prefixKeys().forEach(key -> cachedPrefixKeys.put(key, true));
    }

    /** Returns the number of tokens at the start of a prompt that the instance has processed for earlier requests. */
    long cachedPrefixTokens(Prompt prompt) {
        long cachedTokens = 0;
        for (int part = 0; part < prompt.prefixKeys().size(); part++) {
            if (!cachedPrefixKeys.containsKey(prompt.prefixKeys().get(part))) {
                break;
            }
            cachedTokens += prompt.partTokens().get(part);
        }
        return cachedTokens;
    }
}
