package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceRule.Verdict;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.VersionRequirement;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The instances that an entry knows, with their models, load, failure rate and speed. Chooses the instance for a
 * request. Not thread-safe.
 */
public final class InstanceTable {

    /**
     * Cost, as a load fraction, of an instance in another failure domain; low, as it adds only about a millisecond of
     * latency.
     */
    private static final double REMOTE_DOMAIN_PENALTY = 0.02;
    /**
     * The same cost with {@link DispatchMechanism#NEAR_DOMAIN_PREFERENCE}: bytes between failure domains are expensive.
     * It exceeds the jitter of most instances, so that a remote instance is chosen for its lower load and not by
     * chance.
     */
    private static final double NEAR_DOMAIN_PREFERENCE_PENALTY = 0.12;
    /**
     * Minimum jitter of the cost, as a load fraction, so that entries with the same view choose different instances.
     */
    private static final double MINIMUM_JITTER = 0.04;
    /**
     * Jitter of the cost in requests. Entries learn of each other's choices some hundred milliseconds later; unless the
     * jitter covers the requests that an instance receives in that time, all entries choose the same instance.
     */
    private static final double JITTER_REQUESTS = 2;
    /** Maximum jitter, as a load fraction: an instance with few slots is overloaded by a single request more. */
    private static final double MAXIMUM_JITTER = 0.17;
    /** Cost, as a load fraction, of a failure rate of 1. */
    private static final double FAILURE_PENALTY = 3.0;
    /**
     * Cost reduction, as a load fraction, for a prompt that is cached in full: processing a prompt takes as long as a
     * few steps of the running streams.
     */
    private static final double CACHED_PREFIX_BONUS = 0.08;
    /**
     * Maximum number of prompt tokens that all entries let an engine process at a time. An engine processes prompts
     * between the tokens of its streams; several prompts of a thousand tokens at once pause all streams for longer than
     * callers accept.
     */
    private static final long MAXIMUM_PENDING_PREFILL_TOKENS = 1_000;
    /**
     * Maximum load of an instance of a plain service, relative to its slots; it queues the requests above its slots.
     */
    private static final double PLAIN_SERVICE_CAPACITY_RATIO = 2.0;

    /** Odd multiplier for the prefix key, so that adding the hash code of an instance rarely causes collisions. */
    private static final long PREFIX_KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /**
     * Ratio of the event interval to the baseline above which an instance is considered slow; models differ by less.
     */
    private static final double SLOW_INTERVAL_RATIO = 2.0;
    /** Cost, as a load fraction, for each multiple of the baseline above the slow ratio, up to the maximum. */
    private static final double SLOWDOWN_PENALTY = 0.25;

    private static final double MAXIMUM_SLOWDOWN_PENALTY = 1.0;
    /** Weight of the latest interval in the baseline of a service, which counts the events of all its instances. */
    private static final double SERVICE_INTERVAL_WEIGHT = 0.01;

    private final String failureDomain;
    private final SplittableRandom random;
    private final Set<DispatchMechanism> mechanisms;
    private final Map<String, InstanceState> states = new HashMap<>();
    private final Map<String, Map<String, Integer>> peerLoads = new HashMap<>();
    /** The load of all other entries on each instance, kept as a sum so that a choice does not iterate over entries. */
    private final Map<String, Integer> totalPeerLoads = new HashMap<>();

    private final InstanceNotices notices = new InstanceNotices();
    private final PeerPrompts peerPrompts = new PeerPrompts();
    private final Map<String, EventIntervalAverage> serviceIntervals = new HashMap<>();
    private final List<InstanceRule> rules = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param failureDomain the failure domain of this entry
     * @param seed the seed of the random jitter
     */
    public InstanceTable(String failureDomain, long seed) {
        this(failureDomain, seed, EnumSet.allOf(DispatchMechanism.class));
    }

    /**
     * Creates an empty table that uses only some mechanisms.
     *
     * @param failureDomain the failure domain of this entry
     * @param seed the seed of the random jitter
     * @param mechanisms the mechanisms to use
     */
    public InstanceTable(String failureDomain, long seed, Set<DispatchMechanism> mechanisms) {
        this.failureDomain = failureDomain;
        this.random = new SplittableRandom(seed);
        this.mechanisms = Set.copyOf(mechanisms);
    }

    /**
     * The requirements of a request on its instance.
     *
     * @param service the name of the service
     * @param target the required model or adapter, empty for a plain service
     * @param prompt the prompt of the request
     * @param excluded the identifiers of instances to which the request was already sent
     * @param terms what rules on instances need to know about the request
     */
    public record InstanceQuery(
            String service, Optional<ModelTarget> target, Prompt prompt, Set<String> excluded, Terms terms) {

        /** Creates a query without terms. */
        public InstanceQuery(String service, Optional<ModelTarget> target, Prompt prompt, Set<String> excluded) {
            this(service, target, prompt, excluded, Terms.NONE);
        }
    }

    /**
     * The properties of a request that rules on instances take into account.
     *
     * @param urgency the urgency, where 0 is the most urgent
     * @param targetMillis the time by which the response has to start to meet the latency target
     * @param allowedRegions the regions in which the request may run; empty if it may run in all of them
     * @param version what the request requires of the software version
     */
    public record Terms(int urgency, long targetMillis, Set<String> allowedRegions, VersionRequirement version) {

        /** The terms of a request without any. */
        public static final Terms NONE = new Terms(0, Long.MAX_VALUE, Set.of(), VersionRequirement.NONE);

        /** Returns these terms with another requirement on the software version. */
        public Terms with(VersionRequirement otherVersion) {
            return new Terms(urgency, targetMillis, allowedRegions, otherVersion);
        }
    }

    /** The reason why no instance can accept a request now. */
    public enum Shortage {
        /** No instance of the service is usable. */
        NO_INSTANCE,
        /** At least one instance is usable, but none holds the model or adapter. */
        NOT_RESIDENT,
        /** Every instance that could run the request is at capacity. */
        FULL,
        /** Every instance that could run the request is leaving or has asked for a pause. */
        WITHDRAWN,
        /** The request may run only in some regions, and no instance of the service is in one of them. */
        NO_ALLOWED_INSTANCE,
        /** The stream goes on only at the software version that began it, and no instance runs it any more. */
        NO_INSTANCE_OF_VERSION;

        /** Returns whether the request is refused at once, because waiting does not help. */
        public boolean refusedAtOnce() {
            return this == WITHDRAWN || this == NO_ALLOWED_INSTANCE || this == NO_INSTANCE_OF_VERSION;
        }
    }

    /**
     * The chosen instance, or the reason why there is none.
     *
     * @param instance the chosen instance, empty if there is none
     * @param shortage the reason why there is none, empty if there is one
     * @param pauseEndMillis the time at which the first instance that could run the request ends its pause, empty if
     *     none has asked for one
     */
    public record InstanceSelection(
            Optional<UpstreamInstance> instance, Optional<Shortage> shortage, OptionalLong pauseEndMillis) {}

    /** Adds a rule that restricts which instances may be chosen. */
    public void addRule(InstanceRule rule) {
        rules.add(rule);
    }

    /** Records for the rules that a request is sent to an instance. */
    public void recordSend(String id, long nowMillis) {
        state(id).ifPresent(state -> rules.forEach(rule -> rule.onSent(state, nowMillis)));
    }

    /** Adds an instance or updates its description. A restart under the same identifier resets its state. */
    public void put(UpstreamInstance instance, long nowMillis) {
        InstanceState state = states.get(instance.id());
        if (state == null || state.instance().startedMillis() != instance.startedMillis()) {
            int localLoad = state == null ? 0 : state.localLoad();
            RunContact contact =
                    state == null ? RunContact.unbroken() : state.contact().next();
            states.put(instance.id(), new InstanceState(instance, localLoad, contact));
            markReplaced(instance);
            return;
        }
        state.updateDescription(instance, nowMillis);
    }

    /** Marks the instances that had the address of an instance before it; each address belongs to one instance. */
    private void markReplaced(UpstreamInstance instance) {
        for (InstanceState other : states.values()) {
            UpstreamInstance previous = other.instance();
            if (previous.port() == instance.port()
                    && previous.host().equals(instance.host())
                    && previous.startedMillis() < instance.startedMillis()) {
                other.recordReplacement();
            }
        }
    }

    /** Removes an instance. */
    public void remove(String id) {
        states.remove(id);
    }

    /** Returns the state of an instance. */
    public Optional<InstanceState> state(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Returns the state of an instance if its latest description is that of the run that started at a time. */
    public Optional<InstanceState> state(String id, long startedMillis) {
        return state(id).filter(state -> state.instance().startedMillis() == startedMillis);
    }

    /** Returns what instances have said about further requests. */
    public InstanceNotices notices() {
        return notices;
    }

    /**
     * Returns whether nothing may be sent to an instance: it is leaving, as its description or its responses say, it
     * has asked for a pause, or a rule has withdrawn it.
     */
    public boolean isWithdrawn(UpstreamInstance instance, long nowMillis) {
        boolean draining =
                state(instance.id()).map(state -> state.instance().draining()).orElse(false);
        return draining
                || notices.current(instance, nowMillis).isPresent()
                || rules.stream().anyMatch(rule -> rule.judgeInstance(instance, nowMillis) == Verdict.WITHDRAWN);
    }

    /** Returns whether the rules let an instance hold models: none has withdrawn it or is about to. */
    public boolean mayHoldModels(UpstreamInstance instance, long nowMillis) {
        return rules.stream().allMatch(rule -> rule.judgeInstance(instance, nowMillis) == Verdict.ALLOWED);
    }

    /** Returns the failure domain of this entry. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the identifiers of all instances. */
    public Set<String> ids() {
        return Collections.unmodifiableSet(states.keySet());
    }

    /** Returns the states of all instances. */
    public Collection<InstanceState> states() {
        return Collections.unmodifiableCollection(states.values());
    }

    /**
     * Replaces what another entry reports for all instances.
     *
     * @param entry the name of the other entry
     * @param loads the number of its requests in flight by instance
     * @param unreadPromptTokens the prompt tokens that it has sent and that are not read yet, by instance
     * @param nowMillis the current time
     */
    public void updatePeerLoads(
            String entry, Map<String, Integer> loads, Map<String, Long> unreadPromptTokens, long nowMillis) {
        removePeer(entry);
        peerLoads.put(entry, new HashMap<>(loads));
        loads.forEach((id, load) -> totalPeerLoads.merge(id, load, Integer::sum));
        unreadPromptTokens.forEach((id, tokens) -> peerPrompts.update(entry, id, tokens, nowMillis));
    }

    /**
     * Replaces what another entry reports for one instance.
     *
     * @param entry the name of the other entry
     * @param id the identifier of the instance
     * @param load the number of its requests in flight at the instance
     * @param unreadPromptTokens the prompt tokens that it has sent to the instance and that are not read yet
     * @param nowMillis the current time
     */
    public void updatePeerLoad(String entry, String id, int load, long unreadPromptTokens, long nowMillis) {
        Integer previous =
                peerLoads.computeIfAbsent(entry, key -> new HashMap<>()).put(id, load);
        totalPeerLoads.merge(id, load - (previous == null ? 0 : previous), Integer::sum);
        totalPeerLoads.remove(id, 0);
        peerPrompts.update(entry, id, unreadPromptTokens, nowMillis);
    }

    /** Removes the loads of an entry that no longer reports. */
    public void removePeer(String entry) {
        peerPrompts.removeEntry(entry);
        Map<String, Integer> previous = peerLoads.remove(entry);
        if (previous != null) {
            previous.forEach((id, load) ->
                    totalPeerLoads.computeIfPresent(id, (key, total) -> total.equals(load) ? null : total - load));
        }
    }

    /** Removes the loads of all entries but the given ones. */
    public void retainPeers(Set<String> entries) {
        Set<String> removed = new HashSet<>(peerLoads.keySet());
        removed.removeAll(entries);
        removed.forEach(this::removePeer);
    }

    /** Returns the known number of requests that all entries have in flight at an instance. */
    public int load(String id) {
        InstanceState state = states.get(id);
        return (state == null ? 0 : state.localLoad()) + totalPeerLoads.getOrDefault(id, 0);
    }

    /**
     * Records an event of a stream.
     *
     * @param id the identifier of the instance
     * @param intervalMillis the time since the previous event of the stream
     * @param nowMillis the current time
     */
    public void recordStreamEvent(String id, long intervalMillis, long nowMillis) {
        InstanceState state = states.get(id);
        if (state != null) {
            EventIntervalAverage baseline = serviceIntervals.computeIfAbsent(
                    state.instance().service(), service -> new EventIntervalAverage(SERVICE_INTERVAL_WEIGHT));
            state.eventInterval().record(intervalMillis, baseline.intervalMillis(), nowMillis);
            // Limits the influence of slow instances on the baseline.
            double limitedMillis = baseline.intervalMillis() > 0
                    ? Math.min(intervalMillis, SLOW_INTERVAL_RATIO * baseline.intervalMillis())
                    : intervalMillis;
            baseline.record(limitedMillis, baseline.intervalMillis(), nowMillis);
        }
    }

    /** Returns the ratio of an instance's event interval to the baseline of its service; empty if it is not slow. */
    public OptionalDouble slowdownRatio(String id, long nowMillis) {
        InstanceState state = states.get(id);
        double slowdown = state == null ? 1 : slowdownRatio(state, nowMillis);
        return slowdown < SLOW_INTERVAL_RATIO ? OptionalDouble.empty() : OptionalDouble.of(slowdown);
    }

    private double slowdownRatio(InstanceState state, long nowMillis) {
        EventIntervalAverage baseline = serviceIntervals.get(state.instance().service());
        return baseline == null ? 1 : state.eventInterval().slowdownRatio(baseline.intervalMillis(), nowMillis);
    }

    /** Chooses the instance for a request. */
    public InstanceSelection choose(InstanceQuery query, long nowMillis) {
        ShortageFinder shortage = new ShortageFinder(query.terms());
        Candidate best = Candidate.NONE;
        Candidate lastResort = Candidate.NONE;
        boolean allowedHolderExists = false;
        for (InstanceState state : states.values()) {
            UpstreamInstance instance = state.instance();
            if (!instance.service().equals(query.service())) {
                continue;
            }
            int load = load(instance.id());
            Verdict verdict = judge(state, query, load, nowMillis);
            if (verdict == Verdict.EXCLUDED) {
                continue;
            }
            boolean holds =
                    query.target().isEmpty() || state.holds(query.target().get(), nowMillis);
            Optional<InstanceNotices.Notice> notice = notices.current(instance, nowMillis);
            if (verdict == Verdict.WITHDRAWN || instance.draining() || notice.isPresent()) {
                // The end of a pause does not matter at an instance that a rule has withdrawn.
                shortage.addWithdrawn(holds, verdict == Verdict.WITHDRAWN ? Optional.empty() : notice);
                continue;
            }
            if (query.excluded().contains(instance.id()) || !state.usable(nowMillis)) {
                shortage.addUnusable(!query.excluded().contains(instance.id()) && !state.probablyGone());
                continue;
            }
            shortage.addUsable(holds);
            if (!holds) {
                continue;
            }
            // An instance that is only briefly full comes before those of last resort, unless it is one of them.
            allowedHolderExists |=
                    verdict == Verdict.FULL ? mayHoldModels(instance, nowMillis) : verdict != Verdict.LAST_RESORT;
            if (verdict == Verdict.FULL || !hasCapacity(state, query, load, nowMillis)) {
                continue;
            }
            double cost = cost(state, query, load, nowMillis);
            if (verdict == Verdict.LAST_RESORT) {
                lastResort = lastResort.cheaperOf(instance, cost);
            } else {
                best = best.cheaperOf(instance, cost);
            }
        }
        Candidate chosen = allowedHolderExists ? best : lastResort;
        return chosen.instance()
                .map(instance -> new InstanceSelection(Optional.of(instance), Optional.empty(), OptionalLong.empty()))
                .orElseGet(() -> shortage.selection(nowMillis));
    }

    /** The cheapest instance found so far. */
    private record Candidate(Optional<UpstreamInstance> instance, double cost) {

        private static final Candidate NONE = new Candidate(Optional.empty(), Double.MAX_VALUE);

        private Candidate cheaperOf(UpstreamInstance other, double otherCost) {
            return otherCost < cost ? new Candidate(Optional.of(other), otherCost) : this;
        }
    }

    private Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        Verdict strictest = Verdict.ALLOWED;
        for (InstanceRule rule : rules) {
            Verdict verdict = rule.judge(state, query, load, nowMillis);
            strictest = verdict.compareTo(strictest) > 0 ? verdict : strictest;
        }
        return strictest;
    }

    private boolean hasCapacity(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        double capacityRatio = query.target().isPresent() ? 1.0 : PLAIN_SERVICE_CAPACITY_RATIO;
        double capacity = state.instance().slots() * capacityRatio * notices.usableShare(state.instance(), nowMillis);
        return load < capacity && mayPrefill(state, query.prompt(), nowMillis);
    }

    private boolean mayPrefill(InstanceState state, Prompt prompt, long nowMillis) {
        if (mechanisms.contains(DispatchMechanism.PREFILL_TOKEN_LIMIT)) {
            long unreadTokens = state.pendingPrefillTokens();
            if (mechanisms.contains(DispatchMechanism.SHARED_PREFILL_LIMIT)) {
                unreadTokens += peerPrompts.unreadTokens(state.instance().id(), nowMillis);
            }
            if (unreadTokens > 0 && unreadTokens + prompt.tokens() > MAXIMUM_PENDING_PREFILL_TOKENS) {
                return false;
            }
        }
        return !mechanisms.contains(DispatchMechanism.PREFILL_PAUSE_DETECTION)
                || !state.streamPauses().isAnyPausing(nowMillis);
    }

    private double cost(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        UpstreamInstance instance = state.instance();
        double cost = (double) load / Math.max(1, instance.slots());
        if (!instance.failureDomain().equals(failureDomain)) {
            cost += mechanisms.contains(DispatchMechanism.NEAR_DOMAIN_PREFERENCE)
                    ? NEAR_DOMAIN_PREFERENCE_PENALTY
                    : REMOTE_DOMAIN_PENALTY;
        }
        cost += FAILURE_PENALTY * state.failureRate(nowMillis);
        if (mechanisms.contains(DispatchMechanism.SLOWNESS_PENALTY)) {
            cost += Math.min(
                    MAXIMUM_SLOWDOWN_PENALTY,
                    SLOWDOWN_PENALTY * Math.max(0, slowdownRatio(state, nowMillis) - SLOW_INTERVAL_RATIO));
        }
        if (mechanisms.contains(DispatchMechanism.CACHED_PREFIX_BONUS)) {
            cost -= CACHED_PREFIX_BONUS
                    * state.cachedPrefixTokens(query.prompt())
                    / Math.max(1, query.prompt().tokens());
        }
        double jitterRange = Math.min(MAXIMUM_JITTER, JITTER_REQUESTS / Math.max(1, instance.slots()));
        return cost + jitter(query, instance) * Math.max(MINIMUM_JITTER, jitterRange);
    }

    /**
     * Returns a number from 0 (inclusive) to 1 (exclusive). For requests with the same shared prefix, all entries
     * compute the same number, so that these requests are sent to the same instance, which has the prefix cached,
     * although entries do not exchange the prefixes that they have sent.
     */
    private double jitter(InstanceQuery query, UpstreamInstance instance) {
        OptionalLong sharedKey = query.prompt().sharedPrefixKey();
        if (sharedKey.isEmpty() || !mechanisms.contains(DispatchMechanism.SHARED_PREFIX_PREFERENCE)) {
            return random.nextDouble();
        }
        return new SplittableRandom(sharedKey.getAsLong() * PREFIX_KEY_MULTIPLIER
                        + instance.id().hashCode())
                .nextDouble();
    }
}
