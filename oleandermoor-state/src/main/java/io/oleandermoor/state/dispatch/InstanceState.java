package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** What an entry knows of one start of an instance. Not safe for use by several threads. */
public final class InstanceState {

    /** Time for which an instance is left alone after its first failure; doubles with each further one. */
    private static final long FIRST_PAUSE_MILLIS = 400;

    private static final long LONGEST_PAUSE_MILLIS = 3_000;
    /** Failures in a row after which an instance is left alone. */
    private static final int FAILURES_BEFORE_PAUSE = 3;
    /** Weight of the newest result in the failure rate. */
    private static final double RESULT_WEIGHT = 0.15;
    /** Time in which a failure rate without new results falls to a half. */
    private static final double FORGET_HALF_LIFE_MILLIS = 2_000;
    /** Weight of the newest gap in the pace of an instance: some ten events show a change. */
    private static final double PACE_WEIGHT = 0.1;
    /** Time for which a target that the instance declined counts as absent. */
    private static final long ABSENCE_MILLIS = 400;
    /** Time for which what the giver of orders told goes before what the instance says; longer than its reports. */
    private static final long ORDERED_PRECEDENCE_MILLIS = 1_500;
    /** Prompt parts that are remembered for one instance. */
    private static final int REMEMBERED_PARTS = 2_000;

    private UpstreamInstance instance;
    private Map<String, Set<String>> models;
    private long orderedMillis = Long.MIN_VALUE / 2;
    private int ownLoad;
    private long unreadTokens;
    private final StreamPace pace = new StreamPace(PACE_WEIGHT);
    private int failuresInRow;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private double failureRate;
    private long failureRateMillis;
    private final Map<ModelTarget, Long> absentUntil = new HashMap<>();
    private final Map<Long, Boolean> keptParts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > REMEMBERED_PARTS;
        }
    };

    InstanceState(UpstreamInstance instance, int ownLoad) {
        this.instance = instance;
        this.models = instance.models();
        this.ownLoad = ownLoad;
    }

    void describe(UpstreamInstance next, long nowMillis) {
        instance = next;
        described(next, nowMillis);
    }

    /** What an instance says of itself is older than what the giver of orders tells, as long as that one is heard. */
    private void described(UpstreamInstance next, long nowMillis) {
        boolean toldLately = nowMillis - orderedMillis < ORDERED_PRECEDENCE_MILLIS;
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
    public boolean ordered(Map<String, Set<String>> held, long nowMillis) {
        orderedMillis = nowMillis;
        if (models.equals(held)) {
            return false;
        }
        models = Map.copyOf(held);
        absentUntil.clear();
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
    public int ownLoad() {
        return ownLoad;
    }

    /** Counts a request that is sent. */
    public void sent() {
        ownLoad++;
    }

    /** Counts a request that has ended. */
    public void ended() {
        ownLoad = Math.max(0, ownLoad - 1);
    }

    /** Counts a prompt that is sent and of whose answer nothing has come yet. */
    public void promptSent(long tokens) {
        unreadTokens += tokens;
    }

    /** Counts a prompt that has been read, or whose request has ended. */
    public void promptRead(long tokens) {
        unreadTokens = Math.max(0, unreadTokens - tokens);
    }

    /** Returns the prompt tokens that this entry has sent and that the instance has not answered yet. */
    public long unreadTokens() {
        return unreadTokens;
    }

    /** Returns whether new requests may be sent. */
    public boolean usable(long nowMillis) {
        return !instance.draining() && nowMillis >= pausedUntilMillis;
    }

    boolean holds(ModelTarget target, long nowMillis) {
        Set<String> adapters = models.get(target.model());
        if (adapters == null || (target.isAdapter() && !adapters.contains(target.adapter()))) {
            return false;
        }
        Long until = absentUntil.get(target);
        return until == null || until <= nowMillis;
    }

    /** Records that the instance does not hold a target, or not yet. */
    public void declined(ModelTarget target, long nowMillis) {
        absentUntil.values().removeIf(until -> until <= nowMillis);
        absentUntil.put(target, nowMillis + ABSENCE_MILLIS);
    }

    /** Records an answer that was a success. */
    public void succeeded(long nowMillis) {
        failuresInRow = 0;
        result(0, nowMillis);
    }

    /** Records an answer that was a failure of the instance. */
    public void failed(long nowMillis) {
        result(1, nowMillis);
    }

    /** Records a connection that could not be opened, was lost or stayed silent. */
    public void lost(long nowMillis) {
        result(1, nowMillis);
        failuresInRow++;
        if (failuresInRow >= FAILURES_BEFORE_PAUSE) {
            pause(nowMillis);
        }
    }

    /** Records that no connection could be opened; nothing was sent. */
    public void unreachable(long nowMillis) {
        failuresInRow++;
        pause(nowMillis);
    }

    private void pause(long nowMillis) {
        long pause = FIRST_PAUSE_MILLIS << Math.min(failuresInRow - 1, 3);
        pausedUntilMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pause);
    }

    private void result(double failure, long nowMillis) {
        failureRate = failureRate(nowMillis) * (1 - RESULT_WEIGHT) + failure * RESULT_WEIGHT;
        failureRateMillis = nowMillis;
    }

    StreamPace pace() {
        return pace;
    }

    /** Returns the recent share of failures, from 0 to 1. */
    public double failureRate(long nowMillis) {
        double age = Math.max(0, nowMillis - failureRateMillis);
        return failureRate * Math.pow(0.5, age / FORGET_HALF_LIFE_MILLIS);
    }

    /** Records the parts of a prompt that the instance has read. */
    public void keeps(Prompt prompt) {
        prompt.keys().forEach(key -> keptParts.put(key, true));
    }

    /** Returns the tokens at the start of a prompt that the instance has read for an earlier request. */
    long keptTokens(Prompt prompt) {
        long kept = 0;
        for (int part = 0; part < prompt.keys().size(); part++) {
            if (!keptParts.containsKey(prompt.keys().get(part))) {
                break;
            }
            kept += prompt.partTokens().get(part);
        }
        return kept;
    }
}
