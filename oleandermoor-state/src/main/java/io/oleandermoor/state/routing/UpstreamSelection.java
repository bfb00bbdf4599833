package io.oleandermoor.state.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** State of the choice of an upstream for one request. Not thread-safe and not reused. */
final class UpstreamSelection {

    /** Maximum number of copies examined by the affinity policy, so that its cost does not grow with the fleet. */
    static final int MAXIMUM_EXAMINED = 8;

    /** Maximum number of holders of the prompt prefix that are examined. */
    private static final int PREFIX_HOLDER_CANDIDATES = 2;

    /** Number of random candidates that are compared; two are enough to avoid herding to one upstream. */
    private static final int RANDOM_CANDIDATES = 2;

    /**
     * Maximum number of copies examined in the home domain and for an adapter, which leaves some for other domains and
     * for the base model.
     */
    private static final int MAXIMUM_EXAMINED_BEFORE_WIDENING = 5;

    /** Cost at which all slots are in use. From this cost on, other domains and base models are considered too. */
    private static final double SATURATION_COST = 1.0;

    /** Expected wait that adds the same cost as having all slots in use, in milliseconds. */
    private static final double WAIT_MILLIS_PER_COST_UNIT = 1_000;

    private final Router router;
    private final RouteQuery query;
    private final long nowMillis;
    private final UniformRandomProvider random;
    private final ReadyCopy[] examinedCopies = new ReadyCopy[MAXIMUM_EXAMINED];
    private int examinedCount;
    private int longestCachedBlocks;
    private RouteTarget servedTarget;
    private @Nullable Candidate cheapestAvailable;
    private @Nullable Candidate cheapestEjected;

    UpstreamSelection(Router router, RouteQuery query, long nowMillis, UniformRandomProvider random) {
        this.router = router;
        this.query = query;
        this.nowMillis = nowMillis;
        this.random = random;
        this.servedTarget = query.target();
    }

    int examinedCount() {
        return examinedCount;
    }

    @Nullable
    Candidate nextRoundRobin() {
        CopyGroup group = router.table().group(query.target());
        if (group == null) {
            group = useFallback();
        }
        if (group == null) {
            return null;
        }
        for (int step = 0; step < group.all.length; step++) {
            examinedCount++;
            ReadyCopy copy = group.all[Math.floorMod(group.roundRobinCursor.getAndIncrement(), group.all.length)];
            if (!query.excluded().contains(copy.upstream.id)) {
                return new Candidate(copy, servedTarget, 0, 0);
            }
        }
        return null;
    }

    @Nullable
    Candidate leastLoaded() {
        CopyGroup group = router.table().group(query.target());
        if (group == null) {
            group = useFallback();
        }
        if (group == null) {
            return null;
        }
        ReadyCopy least = null;
        double leastLoad = Double.MAX_VALUE;
        int start = random.nextInt(group.all.length);
        for (int step = 0; step < group.all.length; step++) {
            examinedCount++;
            ReadyCopy copy = group.all[(start + step) % group.all.length];
            UpstreamLoad load = copy.upstream.load();
            double value = load == null ? 0 : (double) load.outstanding() / load.slots();
            if (value < leastLoad && !query.excluded().contains(copy.upstream.id)) {
                least = copy;
                leastLoad = value;
            }
        }
        return least == null ? null : new Candidate(least, servedTarget, leastLoad, 0);
    }

    @Nullable
    Candidate cheapestOfSample() {
        CopyGroup group = router.table().group(query.target());
        boolean hasFallback = query.fallback().isPresent();
        if (group != null) {
            examinePrefixHolders();
            examineGroup(group, hasFallback ? MAXIMUM_EXAMINED_BEFORE_WIDENING : MAXIMUM_EXAMINED);
        }
        if (hasFallback && isWideningNeeded()) {
            CopyGroup baseModelGroup = useFallback();
            if (baseModelGroup != null) {
                examineGroup(baseModelGroup, MAXIMUM_EXAMINED);
            }
        }
        return cheapestAvailable == null ? cheapestEjected : cheapestAvailable;
    }

    private @Nullable CopyGroup useFallback() {
        if (query.fallback().isEmpty()) {
            return null;
        }
        servedTarget = query.fallback().get();
        return router.table().group(servedTarget);
    }

    private boolean isWideningNeeded() {
        return cheapestAvailable == null || cheapestAvailable.cost() >= SATURATION_COST;
    }

    private void examinePrefixHolders() {
        if (query.prefix().blockCount() == 0) {
            return;
        }
        @Nullable UpstreamState[] holders = new UpstreamState[PREFIX_HOLDER_CANDIDATES];
        longestCachedBlocks = router.affinity().findLongestPrefixHolders(query.prefix(), holders);
        for (UpstreamState holder : holders) {
            ReadyCopy copy = holder == null ? null : holder.copies().get(servedTarget);
            if (copy != null) {
                examine(copy);
            }
        }
    }

    private void examineGroup(CopyGroup group, int limit) {
        ReadyCopy[] homeCopies = group.inDomain(query.homeDomain());
        int accepted = 0;
        if (homeCopies.length > 0) {
            accepted = sample(homeCopies, RANDOM_CANDIDATES, Math.min(limit, MAXIMUM_EXAMINED_BEFORE_WIDENING));
        }
        if (homeCopies.length < group.all.length && (accepted < RANDOM_CANDIDATES || isWideningNeeded())) {
            sample(group.all, RANDOM_CANDIDATES, limit);
        } else if (accepted == 0 && cheapestAvailable == null) {
            sample(group.all, RANDOM_CANDIDATES, limit);
        }
    }

    /**
     * Examines distinct random copies until enough of them are accepted or the number of examined copies reaches the
     * limit. Returns the number of accepted copies.
     */
    private int sample(ReadyCopy[] copies, int requiredCount, int limit) {
        int accepted = 0;
        int drawn = 0;
        while (accepted < requiredCount && examinedCount < limit && drawn < copies.length) {
            int index = random.nextInt(copies.length);
            int steps = 0;
            while (isExamined(copies[index]) && steps < copies.length) {
                index = index + 1 == copies.length ? 0 : index + 1;
                steps++;
            }
            if (steps == copies.length) {
                break;
            }
            drawn++;
            if (examine(copies[index])) {
                accepted++;
            }
        }
        return accepted;
    }

    private boolean isExamined(ReadyCopy copy) {
        for (int index = 0; index < examinedCount; index++) {
            if (examinedCopies[index] == copy) {
                return true;
            }
        }
        return false;
    }

    private boolean examine(ReadyCopy copy) {
        if (examinedCount >= MAXIMUM_EXAMINED || isExamined(copy)) {
            return false;
        }
        examinedCopies[examinedCount++] = copy;
        if (query.excluded().contains(copy.upstream.id)) {
            return false;
        }
        int cachedBlocks = router.affinity().cachedBlocks(copy.upstream, query.prefix(), longestCachedBlocks);
        Candidate candidate = new Candidate(copy, servedTarget, cost(copy, cachedBlocks), cachedBlocks);
        if (router.detector().availability(copy.upstream, nowMillis) == OutlierDetector.Availability.EJECTED) {
            cheapestEjected = cheaper(candidate, cheapestEjected);
            return false;
        }
        cheapestAvailable = cheaper(candidate, cheapestAvailable);
        return true;
    }

    private static Candidate cheaper(Candidate candidate, @Nullable Candidate other) {
        return other == null || candidate.cost() < other.cost() ? candidate : other;
    }

    private double cost(ReadyCopy copy, int cachedBlocks) {
        RoutingSettings settings = router.settings();
        UpstreamState upstream = copy.upstream;
        double weight = settings.slowStart().weight(copy.readySinceMillis, nowMillis);
        double cost = (upstream.outstanding() + 1) / (upstream.slots() * weight)
                + upstream.expectedWaitMillis() / WAIT_MILLIS_PER_COST_UNIT;
        if (!upstream.failureDomain.equals(query.homeDomain())) {
            cost += settings.remoteCost();
        }
        if (!servedTarget.equals(query.target())) {
            cost += settings.fallbackCost();
        }
        if (cachedBlocks > 0) {
            cost -= settings.affinityBenefit() * cachedBlocks / query.prefix().blockCount();
        }
        return cost;
    }
}
