package io.oleandermoor.state.rate;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.rate.RateSimulation.Faults;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Guards against spending above a limit: in every interval of length t, all entries together spend at most rate·t +
 * burst.
 */
class RateLimitPropertyTest {

    private static final RateLimit LIMIT = new RateLimit(10_000, 20_000);
    private static final int ENTRIES = 4;
    private static final long RUN_MILLIS = 60_000;

    private static long poolGrants;

    /** Fault scenarios; each run uses one of them. */
    enum FaultScenario {
        NO_FAULT(Faults.NONE),
        MESSAGES_LOST_REPEATED_LATE(new Faults(15, 15, 15, 0, 0, 0, 0)),
        OWNER_CHANGES(new Faults(0, 0, 5, 6_000, 0, 0, 0)),
        OWNER_PAUSED_PAST_LEASE(new Faults(0, 0, 5, 0, 10_000, 0, 0)),
        ENTRIES_PAUSED(new Faults(0, 0, 5, 0, 0, 5_000, 0)),
        ENTRIES_RESTARTED(new Faults(2, 2, 2, 0, 0, 0, 15_000)),
        OWNER_AND_STORE_LOST(new Faults(2, 2, 5, 0, 0, 0, 0)),
        ALL(new Faults(5, 5, 5, 20_000, 30_000, 20_000, 40_000));

        final Faults faults;

        FaultScenario(Faults faults) {
            this.faults = faults;
        }
    }

    /** Faults in runs in which entries send requests to previous owners. */
    enum StaleOwnerScenario {
        OUTAGES_ONLY(Faults.NONE, 0),
        OWNER_CHANGES(new Faults(0, 0, 0, 9_000, 0, 0, 0), 5_000),
        MESSAGES(new Faults(10, 10, 10, 15_000, 0, 0, 0), 8_000),
        PAUSES(new Faults(0, 0, 5, 20_000, 20_000, 8_000, 0), 8_000),
        RESTARTS(new Faults(0, 0, 0, 20_000, 0, 0, 12_000), 10_000),
        EVERYTHING(new Faults(3, 3, 3, 20_000, 30_000, 20_000, 30_000), 6_000);

        final Faults faults;
        final long meanStaleTargetMillis;

        StaleOwnerScenario(Faults faults, long meanStaleTargetMillis) {
            this.faults = faults;
            this.meanStaleTargetMillis = meanStaleTargetMillis;
        }
    }

    /**
     * Percentages of rate and burst that are used for floors. Without floors, no reserved burst can hide other faults.
     */
    enum FloorSizes {
        NONE(0, 0),
        SMALL(20, 5),
        DEFAULT(100, 5),
        LARGE(60, 60),
        /** Leaves so little of the burst beside the floors that any floor used twice exceeds the limit. */
        ALMOST_ALL(100, 95),
        FULL(100, 60);

        final int ratePercent;
        final int burstPercent;

        FloorSizes(int ratePercent, int burstPercent) {
            this.ratePercent = ratePercent;
            this.burstPercent = burstPercent;
        }

        RateSettings settings() {
            return new RateSettings(RatePolicy.OWNER_GRANTS, ENTRIES, 4_000, 500, 8_000, ratePercent, burstPercent, 50);
        }
    }

    @Property(tries = 480, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void spendingKeepsTheLimitUnderFaults(
            @ForAll FaultScenario scenario,
            @ForAll FloorSizes floors,
            @ForAll boolean waves,
            @ForAll boolean slowRefill,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        // With a burst of 10 s of the rate, the accrual of a new owner does not hide tokens that it should not have.
        RateLimit limit = slowRefill ? new RateLimit(2_000, LIMIT.burst()) : LIMIT;
        RateSimulation simulation = new RateSimulation(floors.settings(), limit, scenario.faults, ENTRIES, seed);
        boolean outages = scenario == FaultScenario.OWNER_AND_STORE_LOST || scenario == FaultScenario.ALL;
        while (simulation.millis < RUN_MILLIS) {
            if (outages) {
                simulation.storeDown = simulation.millis % 30_000 > 18_000;
                simulation.entriesWithoutOwner =
                        simulation.millis % 17_000 > 6_000 ? (int) (simulation.millis / 17_000) % 5 : 0;
            }
            if (scenario == FaultScenario.ENTRIES_RESTARTED && simulation.millis % 20_000 == 0) {
                simulation.entries().forEach(RateSimulation.Entry::restart);
            }
            simulation.step();
            offerLoad(simulation, waves);
        }
        assertThat(simulation.excess(limit)).isLessThanOrEqualTo(0);
        assertThat(simulation.granted).as("the run must exercise grants").isGreaterThan(50);
    }

    /** Entries without an owner repeatedly use large floors while the other entries exhaust the grants. */
    @Property(tries = 60, seed = "20261208", shrinking = ShrinkingMode.OFF)
    void floorsAndGrantsTogetherKeepTheLimit(
            @ForAll boolean waves,
            @ForAll @IntRange(min = 1, max = 3) int isolatedEntries,
            @ForAll @IntRange(min = 5_500, max = 12_000) int isolationMillis,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        RateSimulation simulation = new RateSimulation(FloorSizes.LARGE.settings(), LIMIT, Faults.NONE, ENTRIES, seed);
        while (simulation.millis < RUN_MILLIS) {
            simulation.entriesWithoutOwner =
                    simulation.millis % (isolationMillis + 2_000) < isolationMillis ? isolatedEntries : 0;
            simulation.step();
            if (!waves || simulation.millis % 10_000 > 7_000) {
                simulation.entries().stream()
                        .filter(entry -> simulation.random.nextInt(8) == 0)
                        .forEach(entry -> {
                            long tokens = 1 + simulation.random.nextInt(1_500);
                            entry.offer(tokens, tokens, 100);
                        });
            }
        }
        assertThat(simulation.excess(LIMIT)).isLessThanOrEqualTo(0);
    }

    /**
     * Floors are contributed to pools of previous owners and withdrawn while owners change, with constant load or load
     * in waves.
     */
    @Property(tries = 600, seed = "20261209", shrinking = ShrinkingMode.OFF)
    void poolsFloorsAndGrantsTogetherKeepTheLimit(
            @ForAll StaleOwnerScenario scenario,
            @ForAll boolean almostAll,
            @ForAll boolean waves,
            @ForAll boolean slowRefill,
            @ForAll @IntRange(min = 2_000, max = 25_000) int downMillis,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        RateLimit limit = slowRefill ? new RateLimit(2_000, LIMIT.burst()) : LIMIT;
        RateSimulation simulation = new RateSimulation(
                (almostAll ? FloorSizes.ALMOST_ALL : FloorSizes.FULL).settings(),
                limit,
                scenario.faults,
                ENTRIES,
                seed);
        simulation.meanStaleTargetMillis = scenario.meanStaleTargetMillis;
        while (simulation.millis < RUN_MILLIS) {
            simulation.storeDown = simulation.millis % (downMillis + 12_000) > 12_000;
            simulation.step();
            if (!waves || simulation.millis % 10_000 > 7_000) {
                simulation.entries().stream()
                        .filter(entry -> !entry.paused() && simulation.random.nextInt(8) == 0)
                        .forEach(entry -> {
                            long tokens = 1 + simulation.random.nextInt(900);
                            entry.offer(tokens, tokens, 100);
                        });
            }
        }
        assertThat(simulation.excess(limit)).isLessThanOrEqualTo(0);
        poolGrants += simulation.grantedByPools;
    }

    /** Guards against a property that holds only because pools grant no tokens. */
    @AfterContainer
    static void poolsHaveGrantedTokens() {
        assertThat(poolGrants).isGreaterThan(1_000);
    }

    @Property(tries = 30, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void spendingKeepsTheLargerLimitWhileLimitsChange(@ForAll @IntRange(max = 1_000_000) int seed) {
        Faults faults = new Faults(5, 5, 5, 20_000, 0, 20_000, 0);
        RateSimulation simulation = new RateSimulation(RateSettings.defaults(ENTRIES), LIMIT, faults, ENTRIES, seed);
        while (simulation.millis < RUN_MILLIS) {
            if (simulation.millis % 7_000 == 0) {
                simulation.configure(simulation.random.nextBoolean() ? LIMIT : new RateLimit(3_000, 5_000));
            }
            simulation.step();
            offerLoad(simulation, true);
        }
        assertThat(simulation.excess(LIMIT)).isLessThanOrEqualTo(0);
    }

    /**
     * Offers several times the rate, with some large requests, either constantly or in waves that let the buckets fill.
     */
    private static void offerLoad(RateSimulation simulation, boolean waves) {
        boolean wave = !waves || simulation.millis / 3_000 % 2 == 0;
        for (RateSimulation.Entry entry : simulation.entries()) {
            if (!entry.paused() && simulation.random.nextInt(wave ? 40 : 800) == 0) {
                boolean large = simulation.random.nextInt(40) == 0;
                boolean small = simulation.random.nextBoolean();
                long reserved = large ? 18_000 : small ? 1 + simulation.random.nextInt(240) : 2_000;
                long used = simulation.random.nextBoolean() ? reserved : simulation.random.nextLong(reserved);
                entry.offer(reserved, used, simulation.random.nextLong(15_000));
            }
        }
    }
}
