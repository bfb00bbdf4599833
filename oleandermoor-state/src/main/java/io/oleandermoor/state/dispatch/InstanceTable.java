package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * The instances that an entry knows, what they hold, how loaded they are and how they behaved; chooses among them. Not
 * safe for use by several threads.
 */
public final class InstanceTable {

    /** Load fraction that an instance in another failure domain must be better by; a millisecond more is little. */
    private static final double OTHER_DOMAIN_PENALTY = 0.02;
    /** Load fraction by which choices of several entries with the same view are spread. */
    private static final double NOISE = 0.04;
    /** Load fraction that a failure rate of 1 adds. */
    private static final double FAILURE_PENALTY = 3.0;
    /**
     * Load fraction that a prompt which is kept in full is worth: the reading of a prompt costs a few streams' steps.
     */
    private static final double AFFINITY_BONUS = 0.08;
    /**
     * Prompt tokens that one entry lets an engine read at a time. An engine reads prompts between the tokens of its
     * streams; several prompts of a thousand tokens at once make all of them pause for longer than callers accept.
     */
    private static final long UNREAD_TOKENS = 1_000;
    /** Requests beyond its slots that a plain instance is given, relative to its slots; it works them off in turn. */
    private static final double PLAIN_DEPTH = 2.0;

    private final String failureDomain;
    private final SplittableRandom random;
    private final Map<String, InstanceState> states = new HashMap<>();
    private final Map<String, Map<String, Integer>> peerLoads = new HashMap<>();

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
    public record Query(String service, Optional<ModelTarget> target, Prompt prompt, Set<String> excluded) {}

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
     * @param candidates the number of instances that could have run it
     */
    public record Selection(Optional<UpstreamInstance> instance, Optional<Shortage> shortage, int candidates) {}

    /** Adds an instance or replaces what is known of it. A new start under the same identifier forgets the past. */
    public void put(UpstreamInstance instance, long nowMillis) {
        InstanceState state = states.get(instance.id());
        if (state == null || state.instance().startedMillis() != instance.startedMillis()) {
            int own = state == null ? 0 : state.ownLoad();
            states.put(instance.id(), new InstanceState(instance, own));
            return;
        }
        state.describe(instance, nowMillis);
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
    public Collection<InstanceState> all() {
        return Collections.unmodifiableCollection(states.values());
    }

    /** Replaces the loads that another entry puts on instances. */
    public void peerLoad(String entry, Map<String, Integer> loads) {
        peerLoads.put(entry, Map.copyOf(loads));
    }

    /** Forgets the loads of an entry that is silent. */
    public void forgetPeer(String entry) {
        peerLoads.remove(entry);
    }

    /** Forgets the loads of all entries but some. */
    public void retainPeers(Set<String> entries) {
        peerLoads.keySet().retainAll(entries);
    }

    /** Returns the requests that all entries have at an instance, as far as known. */
    public int load(String id) {
        InstanceState state = states.get(id);
        int load = state == null ? 0 : state.ownLoad();
        for (Map<String, Integer> peer : peerLoads.values()) {
            load += peer.getOrDefault(id, 0);
        }
        return load;
    }

    /** Chooses the instance for a request. */
    public Selection choose(Query query, long nowMillis) {
        boolean usable = false;
        boolean resident = false;
        int candidates = 0;
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
            double depth = query.target().isPresent() ? 1.0 : PLAIN_DEPTH;
            if (load >= instance.slots() * depth || reading(state, query.prompt())) {
                continue;
            }
            candidates++;
            double cost = cost(state, query, load, nowMillis);
            if (cost < bestCost) {
                bestCost = cost;
                best = instance;
            }
        }
        if (best != null) {
            return new Selection(Optional.of(best), Optional.empty(), candidates);
        }
        Shortage shortage = resident ? Shortage.FULL : usable ? Shortage.NOT_RESIDENT : Shortage.NO_INSTANCE;
        return new Selection(Optional.empty(), Optional.of(shortage), 0);
    }

    private static boolean reading(InstanceState state, Prompt prompt) {
        return state.unreadTokens() > 0 && state.unreadTokens() + prompt.tokens() > UNREAD_TOKENS;
    }

    private double cost(InstanceState state, Query query, int load, long nowMillis) {
        UpstreamInstance instance = state.instance();
        double cost = (double) load / Math.max(1, instance.slots());
        if (!instance.failureDomain().equals(failureDomain)) {
            cost += OTHER_DOMAIN_PENALTY;
        }
        cost += FAILURE_PENALTY * state.failureRate(nowMillis);
        cost -= AFFINITY_BONUS
                * state.keptTokens(query.prompt())
                / Math.max(1, query.prompt().tokens());
        return cost + random.nextDouble() * NOISE;
    }
}
