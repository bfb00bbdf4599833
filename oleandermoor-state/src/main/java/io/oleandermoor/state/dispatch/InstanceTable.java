package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * The instances that an entry knows, what they hold, how loaded they are and how they behaved; chooses among them. Not
 * safe for use by several threads.
 */
public final class InstanceTable {

    /** Load fraction that an instance in another failure domain must be better by; a millisecond more is little. */
    private static final double REMOTE_DOMAIN_PENALTY = 0.02;
    /** Least load fraction by which choices of several entries with the same view are spread. */
    private static final double MINIMUM_JITTER = 0.04;
    /**
     * Requests by which choices are spread at least. Entries see each other's choices some hundred milliseconds later;
     * without a spread of as many requests as come to an instance in that time, all of them choose the same one.
     */
    private static final double JITTER_REQUESTS = 2;
    /** Largest load fraction by which choices are spread: at few slots, one request more is a crowded instance. */
    private static final double MAXIMUM_JITTER = 0.17;
    /** Load fraction that a failure rate of 1 adds. */
    private static final double FAILURE_PENALTY = 3.0;
    /**
     * Load fraction that a prompt which is kept in full is worth: the reading of a prompt costs a few streams' steps.
     */
    private static final double CACHED_PREFIX_BONUS = 0.08;
    /**
     * Prompt tokens that one entry lets an engine read at a time. An engine reads prompts between the tokens of its
     * streams; several prompts of a thousand tokens at once make all of them pause for longer than callers accept.
     */
    private static final long MAXIMUM_PENDING_PREFILL_TOKENS = 1_000;
    /** Requests beyond its slots that a plain instance is given, relative to its slots; it works them off in turn. */
    private static final double PLAIN_SERVICE_CAPACITY_RATIO = 2.0;

    /** Odd factor that keeps the keys of prompts and the hashes of instances apart. */
    private static final long PREFIX_KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /**
     * Gaps between events, relative to the usual ones, from which an instance counts as slow; models differ by less.
     */
    private static final double SLOW_INTERVAL_RATIO = 2.0;
    /** Load fraction that a slow instance is worse by for each further multiple of the usual gap, up to a bound. */
    private static final double SLOWDOWN_PENALTY = 0.25;

    private static final double MAXIMUM_SLOWDOWN_PENALTY = 1.0;
    /** Weight of the newest gap in the pace of a service, which has the events of all its instances. */
    private static final double SERVICE_INTERVAL_WEIGHT = 0.01;

    private final String failureDomain;
    private final SplittableRandom random;
    private final Map<String, InstanceState> states = new HashMap<>();
    private final Map<String, Map<String, Integer>> peerLoads = new HashMap<>();
    /** The sum of the loads of all other entries for each instance, so that a choice does not cost a look at each. */
    private final Map<String, Integer> totalPeerLoads = new HashMap<>();

    private final Map<String, EventIntervalAverage> serviceIntervals = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param failureDomain the failure domain of this entry
     * @param seed the seed of the spreading
     */
    public InstanceTable(String failureDomain, long seed) {
        this.failureDomain = failureDomain;
        this.random = new SplittableRandom(seed);
    }

    /**
     * What a request needs.
     *
     * @param service the service
     * @param target the model or adapter, empty for a plain service
     * @param prompt the prompt
     * @param excluded instances that the request was already sent to
     */
    public record InstanceQuery(String service, Optional<ModelTarget> target, Prompt prompt, Set<String> excluded) {}

    /** Why no instance can take a request now. */
    public enum Shortage {
        /** No instance of the service is usable. */
        NO_INSTANCE,
        /** Instances are usable, but none holds the model or adapter. */
        NOT_RESIDENT,
        /** Every instance that could run it is full. */
        FULL
    }

    /**
     * A choice or the reason for none.
     *
     * @param instance the chosen instance
     * @param shortage why there is none
     */
    public record InstanceSelection(Optional<UpstreamInstance> instance, Optional<Shortage> shortage) {}

    /** Adds an instance or replaces what is known of it. A new start under the same identifier forgets the past. */
    public void put(UpstreamInstance instance, long nowMillis) {
        InstanceState state = states.get(instance.id());
        if (state == null || state.instance().startedMillis() != instance.startedMillis()) {
            int own = state == null ? 0 : state.localLoad();
            states.put(instance.id(), new InstanceState(instance, own));
            return;
        }
        state.updateDescription(instance, nowMillis);
    }

    /** Forgets an instance that has left. */
    public void remove(String id) {
        states.remove(id);
    }

    /** Returns what is known of an instance. */
    public Optional<InstanceState> state(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Returns all instances. */
    public Collection<InstanceState> states() {
        return Collections.unmodifiableCollection(states.values());
    }

    /** Replaces the loads that another entry puts on instances. */
    public void updatePeerLoads(String entry, Map<String, Integer> loads) {
        Map<String, Integer> next = Map.copyOf(loads);
        removePeer(entry);
        peerLoads.put(entry, next);
        next.forEach((id, load) -> totalPeerLoads.merge(id, load, Integer::sum));
    }

    /** Forgets the loads of an entry that is silent. */
    public void removePeer(String entry) {
        Map<String, Integer> before = peerLoads.remove(entry);
        if (before != null) {
            before.forEach((id, load) ->
                    totalPeerLoads.computeIfPresent(id, (key, total) -> total.equals(load) ? null : total - load));
        }
    }

    /** Forgets the loads of all entries but some. */
    public void retainPeers(Set<String> entries) {
        Set<String> gone = new HashSet<>(peerLoads.keySet());
        gone.removeAll(entries);
        gone.forEach(this::removePeer);
    }

    /** Returns the requests that all entries have at an instance, as far as known. */
    public int load(String id) {
        InstanceState state = states.get(id);
        return (state == null ? 0 : state.localLoad()) + totalPeerLoads.getOrDefault(id, 0);
    }

    /**
     * Notes an event of a stream.
     *
     * @param id the instance
     * @param gapMillis the time since the event before it
     * @param nowMillis the time
     */
    public void recordStreamEvent(String id, long gapMillis, long nowMillis) {
        InstanceState state = states.get(id);
        if (state != null) {
            EventIntervalAverage usual = serviceIntervals.computeIfAbsent(
                    state.instance().service(), service -> new EventIntervalAverage(SERVICE_INTERVAL_WEIGHT));
            state.eventInterval().record(gapMillis, usual.intervalMillis(), nowMillis);
            // A few slow instances must not make slowness usual.
            double counted = usual.intervalMillis() > 0
                    ? Math.min(gapMillis, SLOW_INTERVAL_RATIO * usual.intervalMillis())
                    : gapMillis;
            usual.record(counted, usual.intervalMillis(), nowMillis);
        }
    }

    /** Returns how many times as long the pauses of an instance are as is usual for its service, if it is slow. */
    public OptionalDouble slowdownRatio(String id, long nowMillis) {
        InstanceState state = states.get(id);
        double slowness = state == null ? 1 : slowdownRatio(state, nowMillis);
        return slowness < SLOW_INTERVAL_RATIO ? OptionalDouble.empty() : OptionalDouble.of(slowness);
    }

    private double slowdownRatio(InstanceState state, long nowMillis) {
        EventIntervalAverage usual = serviceIntervals.get(state.instance().service());
        return usual == null ? 1 : state.eventInterval().slowdownRatio(usual.intervalMillis(), nowMillis);
    }

    /** Chooses the instance for a request. */
    public InstanceSelection choose(InstanceQuery query, long nowMillis) {
        boolean usable = false;
        boolean resident = false;
        double bestCost = Double.MAX_VALUE;
        @Nullable UpstreamInstance best = null;
        for (InstanceState state : states.values()) {
            UpstreamInstance instance = state.instance();
            if (!instance.service().equals(query.service()) || !state.usable(nowMillis)) {
                continue;
            }
            if (query.excluded().contains(instance.id())) {
                continue;
            }
            usable = true;
            if (query.target().isPresent() && !state.holds(query.target().get(), nowMillis)) {
                continue;
            }
            resident = true;
            int load = load(instance.id());
            double depth = query.target().isPresent() ? 1.0 : PLAIN_SERVICE_CAPACITY_RATIO;
            if (load >= instance.slots() * depth || exceedsPrefillLimit(state, query.prompt())) {
                continue;
            }
            double cost = cost(state, query, load, nowMillis);
            if (cost < bestCost) {
                bestCost = cost;
                best = instance;
            }
        }
        if (best != null) {
            return new InstanceSelection(Optional.of(best), Optional.empty());
        }
        Shortage shortage = resident ? Shortage.FULL : usable ? Shortage.NOT_RESIDENT : Shortage.NO_INSTANCE;
        return new InstanceSelection(Optional.empty(), Optional.of(shortage));
    }

    private static boolean exceedsPrefillLimit(InstanceState state, Prompt prompt) {
        return state.pendingPrefillTokens() > 0
                && state.pendingPrefillTokens() + prompt.tokens() > MAXIMUM_PENDING_PREFILL_TOKENS;
    }

    private double cost(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        UpstreamInstance instance = state.instance();
        double cost = (double) load / Math.max(1, instance.slots());
        if (!instance.failureDomain().equals(failureDomain)) {
            cost += REMOTE_DOMAIN_PENALTY;
        }
        cost += FAILURE_PENALTY * state.failureRate(nowMillis);
        cost += Math.min(
                MAXIMUM_SLOWDOWN_PENALTY,
                SLOWDOWN_PENALTY * Math.max(0, slowdownRatio(state, nowMillis) - SLOW_INTERVAL_RATIO));
        cost -= CACHED_PREFIX_BONUS
                * state.cachedPrefixTokens(query.prompt())
                / Math.max(1, query.prompt().tokens());
        double spread = Math.min(MAXIMUM_JITTER, JITTER_REQUESTS / Math.max(1, instance.slots()));
        return cost + jitter(query, instance) * Math.max(MINIMUM_JITTER, spread);
    }

    /**
     * Returns a number from 0 to below 1. For requests that share the beginning of their prompt it is the same in all
     * entries, so that these requests meet at an instance that keeps the beginning though no entry tells another one
     * what it has sent.
     */
    private double jitter(InstanceQuery query, UpstreamInstance instance) {
        OptionalLong shared = query.prompt().sharedPrefixKey();
        if (shared.isEmpty()) {
            return random.nextDouble();
        }
        return new SplittableRandom(shared.getAsLong() * PREFIX_KEY_MULTIPLIER
                        + instance.id().hashCode())
                .nextDouble();
    }
}
