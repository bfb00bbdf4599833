package io.oleandermoor.state.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** One choice of an upstream. Used by one thread and dropped afterwards. */
final class Selection {

    /** Largest number of copies examined by the affinity policy, so that the cost does not grow with the fleet. */
    static final int MAXIMUM_EXAMINED = 8;

    /** Number of holders of the prefix that are examined. */
    private static final int AFFINITY_CANDIDATES = 2;

    /** Number of random candidates that are compared; two keep requests from gathering at one upstream. */
    private static final int RANDOM_CANDIDATES = 2;

    /** Copies examined in the home domain and for an adapter, so that some remain for other domains and base models. */
    private static final int EXAMINED_BEFORE_WIDENING = 5;

    /** Cost at which all slots are taken, so that other domains and base models are considered too. */
    private static final double SATURATED = 1.0;

    /** Expected wait that weighs as much as all slots of an upstream, in milliseconds. */
    private static final double WAIT_UNIT_MILLIS = 1_000;

    private final Router router;
    private final RouteQuery query;
    private final long nowMillis;
    private final UniformRandomProvider random;
    private final Copy[] examined = new Copy[MAXIMUM_EXAMINED];
    private int examinedCount;
    private int knownBlocks;
    private RouteTarget ready;
    private @Nullable Candidate best;
    private @Nullable Candidate lastResort;

    Selection(Router router, RouteQuery query, long nowMillis, UniformRandomProvider random) {
        this.router = router;
        this.query = query;
        this.nowMillis = nowMillis;
        this.random = random;
        this.ready = query.target();
    }

    int examinedCount() {
        return examinedCount;
    }

    @Nullable
    Candidate inTurn() {
        CopyGroup group = router.table().group(query.target());
        if (group == null) {
            group = useFallback();
        }
        if (group == null) {
            return null;
        }
        for (int step = 0; step < group.all.length; step++) {
            examinedCount++;
            Copy copy = group.all[Math.floorMod(group.roundRobinCursor.getAndIncrement(), group.all.length)];
            if (!query.excluded().contains(copy.upstream.id)) {
                return new Candidate(copy, ready, 0, 0);
            }
        }
        return null;
    }

    @Nullable
    Candidate leastReportedLoad() {
        CopyGroup group = router.table().group(query.target());
        if (group == null) {
            group = useFallback();
        }
        if (group == null) {
            return null;
        }
        Copy least = null;
        double leastLoad = Double.MAX_VALUE;
        int start = random.nextInt(group.all.length);
        for (int step = 0; step < group.all.length; step++) {
            examinedCount++;
            Copy copy = group.all[(start + step) % group.all.length];
            UpstreamLoad load = copy.upstream.load();
            double value = load == null ? 0 : (double) load.outstanding() / load.slots();
            if (value < leastLoad && !query.excluded().contains(copy.upstream.id)) {
                least = copy;
                leastLoad = value;
            }
        }
        return least == null ? null : new Candidate(least, ready, leastLoad, 0);
    }

    @Nullable
    Candidate cheapestOfFew() {
        CopyGroup group = router.table().group(query.target());
        boolean hasFallback = query.fallback().isPresent();
        if (group != null) {
            examineHolders();
            examineGroup(group, hasFallback ? EXAMINED_BEFORE_WIDENING : MAXIMUM_EXAMINED);
        }
        if (hasFallback && isWideningNeeded()) {
            CopyGroup base = useFallback();
            if (base != null) {
                examineGroup(base, MAXIMUM_EXAMINED);
            }
        }
        return best == null ? lastResort : best;
    }

    private @Nullable CopyGroup useFallback() {
        if (query.fallback().isEmpty()) {
            return null;
        }
        ready = query.fallback().get();
        return router.table().group(ready);
    }

    private boolean isWideningNeeded() {
        return best == null || best.cost() >= SATURATED;
    }

    private void examineHolders() {
        if (query.prefix().blocks() == 0) {
            return;
        }
        @Nullable UpstreamState[] holders = new UpstreamState[AFFINITY_CANDIDATES];
        knownBlocks = router.affinity().longestHolders(query.prefix(), holders);
        for (UpstreamState holder : holders) {
            Copy copy = holder == null ? null : holder.copies().get(ready);
            if (copy != null) {
                examine(copy);
            }
        }
    }

    private void examineGroup(CopyGroup group, int limit) {
        Copy[] home = group.in(query.home());
        int accepted = 0;
        if (home.length > 0) {
            accepted = sample(home, RANDOM_CANDIDATES, Math.min(limit, EXAMINED_BEFORE_WIDENING));
        }
        if (home.length < group.all.length && (accepted < RANDOM_CANDIDATES || isWideningNeeded())) {
            sample(group.all, RANDOM_CANDIDATES, limit);
        } else if (accepted == 0 && best == null) {
            sample(group.all, RANDOM_CANDIDATES, limit);
        }
    }

    /** Examines different random copies until enough are accepted or the limit is reached. */
    private int sample(Copy[] copies, int wanted, int limit) {
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

    private boolean isExamined(Copy copy) {
        for (int index = 0; index < examinedCount; index++) {
            if (examined[index] == copy) {
                return true;
            }
        }
        return false;
    }

    private boolean examine(Copy copy) {
        if (examinedCount >= MAXIMUM_EXAMINED || isExamined(copy)) {
            return false;
        }
        examined[examinedCount++] = copy;
        if (query.excluded().contains(copy.upstream.id)) {
            return false;
        }
        int heldBlocks = router.affinity().heldBlocks(copy.upstream, query.prefix(), knownBlocks);
        Candidate candidate = new Candidate(copy, ready, cost(copy, heldBlocks), heldBlocks);
        if (router.detector().availability(copy.upstream, nowMillis) == OutlierDetector.Availability.EJECTED) {
            lastResort = cheaper(candidate, lastResort);
            return false;
        }
        best = cheaper(candidate, best);
        return true;
    }

    private static Candidate cheaper(Candidate candidate, @Nullable Candidate other) {
        return other == null || candidate.cost() < other.cost() ? candidate : other;
    }

    private double cost(Copy copy, int heldBlocks) {
        RoutingSettings settings = router.settings();
        UpstreamState upstream = copy.upstream;
        double weight = settings.slowStart().weight(copy.readySinceMillis, nowMillis);
        double cost = (upstream.outstanding() + 1) / (upstream.slots() * weight)
                + upstream.expectedWaitMillis() / WAIT_UNIT_MILLIS;
        if (!upstream.failureDomain.equals(query.home())) {
            cost += settings.remoteCost();
        }
        if (!ready.equals(query.target())) {
            cost += settings.fallbackCost();
        }
        if (heldBlocks > 0) {
            cost -= settings.affinityBenefit() * heldBlocks / query.prefix().blocks();
        }
        return cost;
    }
}
