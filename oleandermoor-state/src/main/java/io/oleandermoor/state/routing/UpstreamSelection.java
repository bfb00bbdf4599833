package io.oleandermoor.state.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** One choice of an upstream. Used by one thread and dropped afterwards. */
final class UpstreamSelection {

    /** Largest number of copies examined by the affinity policy, so that the cost does not grow with the fleet. */
    static final int MAXIMUM_EXAMINED = 8;

    /** Number of holders of the prefix that are examined. */
    private static final int PREFIX_HOLDER_CANDIDATES = 2;

    /** Number of random candidates that are compared; two keep requests from gathering at one upstream. */
    private static final int RANDOM_CANDIDATES = 2;

    /** Copies examined in the home domain and for an adapter, so that some remain for other domains and base models. */
    private static final int MAXIMUM_EXAMINED_BEFORE_WIDENING = 5;

    /** Cost at which all slots are taken, so that other domains and base models are considered too. */
    private static final double SATURATION_COST = 1.0;

    /** Expected wait that weighs as much as all slots of an upstream, in milliseconds. */
    private static final double WAIT_MILLIS_PER_COST_UNIT = 1_000;

    private final Router router;
    private final RouteQuery query;
    private final long nowMillis;
    private final UniformRandomProvider random;
    private final ReadyCopy[] examined = new ReadyCopy[MAXIMUM_EXAMINED];
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
            CopyGroup base = useFallback();
            if (base != null) {
                examineGroup(base, MAXIMUM_EXAMINED);
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
        ReadyCopy[] home = group.inDomain(query.homeDomain());
        int accepted = 0;
        if (home.length > 0) {
            accepted = sample(home, RANDOM_CANDIDATES, Math.min(limit, MAXIMUM_EXAMINED_BEFORE_WIDENING));
        }
        if (home.length < group.all.length && (accepted < RANDOM_CANDIDATES || isWideningNeeded())) {
            sample(group.all, RANDOM_CANDIDATES, limit);
        } else if (accepted == 0 && cheapestAvailable == null) {
            sample(group.all, RANDOM_CANDIDATES, limit);
        }
    }

    /** Examines different random copies until enough are accepted or the limit is reached. */
    private int sample(ReadyCopy[] copies, int wanted, int limit) {
        int accepted = 0;
        int drawn = 0;
        while (accepted < wanted && examinedCount < limit && drawn < copies.length) {
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
            if (examined[index] == copy) {
                return true;
            }
        }
        return false;
    }

    private boolean examine(ReadyCopy copy) {
        if (examinedCount >= MAXIMUM_EXAMINED || isExamined(copy)) {
            return false;
        }
        examined[examinedCount++] = copy;
        if (query.excluded().contains(copy.upstream.id)) {
            return false;
        }
        int heldBlocks = router.affinity().cachedBlocks(copy.upstream, query.prefix(), longestCachedBlocks);
        Candidate candidate = new Candidate(copy, servedTarget, cost(copy, heldBlocks), heldBlocks);
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

    private double cost(ReadyCopy copy, int heldBlocks) {
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
        if (heldBlocks > 0) {
            cost -= settings.affinityBenefit() * heldBlocks / query.prefix().blockCount();
        }
        return cost;
    }
}
