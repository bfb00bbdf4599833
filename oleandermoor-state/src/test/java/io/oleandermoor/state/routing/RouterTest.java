package io.oleandermoor.state.routing;

import static io.oleandermoor.state.routing.SimulatedFleet.HOME;
import static io.oleandermoor.state.routing.SimulatedFleet.MODEL;
import static io.oleandermoor.state.routing.SimulatedFleet.record;
import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouterTest {

    private static final RouteTarget TARGET = new RouteTarget.OfModel(MODEL);

    static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    private static PromptPrefix prompt(long conversation, int turns) {
        byte[] bytes = new byte[PromptPrefix.BLOCK_BYTES * turns];
        random(conversation).nextBytes(bytes);
        return PromptPrefix.of("m", bytes);
    }

    @Nested
    class LoadBalancing {

        private int maximumQueueLength(RoutingPolicy policy, long seed) {
            SimulatedFleet fleet = new SimulatedFleet(policy, 4, 10, 500, 300);
            UniformRandomProvider random = random(seed);
            for (long now = 0; now < 20_000; now++) {
                fleet.reportLoad(now);
                if (random.nextDouble() < 0.14) {
                    fleet.sendRequest(random.nextInt(4), PromptPrefix.empty(), 200 + random.nextInt(400), now, random);
                }
            }
            return fleet.maximumQueueLength;
        }

        @Test
        @DisplayName("Guards against herding: all entries send to the upstream that was idle in the last load report")
        void affinityQueuesStayShorterThanLeastLoadedWhenReportsLag() {
            for (long seed = 1; seed <= 20; seed++) {
                int affinity = maximumQueueLength(RoutingPolicy.AFFINITY, seed);
                int leastLoaded = maximumQueueLength(RoutingPolicy.LEAST_LOADED, seed);
                assertThat(affinity)
                        .as("seed %d", seed)
                        .isLessThan(leastLoaded / 2)
                        .isLessThan(16);
            }
        }

        @Test
        @DisplayName("Guards against overload of the upstream that has a frequently used prefix cached")
        void sharedPrefixCausesOnlyBoundedImbalance() {
            SimulatedFleet fleet = new SimulatedFleet(RoutingPolicy.AFFINITY, 1, 4, 50, 0);
            UniformRandomProvider random = random(7);
            PromptPrefix sharedPrefix = prompt(1, 20);
            int maximumImbalance = 0;
            for (long now = 0; now < 20_000; now++) {
                fleet.reportLoad(now);
                if (random.nextDouble() < 0.05) {
                    fleet.sendRequest(0, sharedPrefix, 400, now, random);
                    long time = now;
                    fleet.nodes.forEach(node -> node.completionTimesMillis.removeIf(end -> end <= time));
                    int most = fleet.nodes.stream()
                            .mapToInt(node -> node.completionTimesMillis.size())
                            .max()
                            .orElse(0);
                    int least = fleet.nodes.stream()
                            .mapToInt(node -> node.completionTimesMillis.size())
                            .min()
                            .orElse(0);
                    maximumImbalance = Math.max(maximumImbalance, most - least);
                }
            }
            double benefit = RoutingSettings.defaults(RoutingPolicy.AFFINITY).affinityBenefit();
            // The benefit permits half of the slots; the rest is the error of reports that are up to 50 ms old.
            assertThat(maximumImbalance).isLessThanOrEqualTo((int) (benefit * SimulatedFleet.SLOTS) + 3);
        }

        @Test
        @DisplayName("Guards against a late load report discarding the requests sent after its measurement")
        void sendHistoryCountsRequestsSentAfterMeasurement() {
            SendHistory history = new SendHistory();
            IntStream.range(0, 1000).forEach(history::recordSend);
            assertThat(history.countSince(32 * SendHistory.BUCKET_MILLIS)).isZero();
            assertThat(history.countSince(900)).isBetween(100, 100 + (int) SendHistory.BUCKET_MILLIS);
            history.recordSend(100_000);
            assertThat(history.countSince(0)).isEqualTo(1);
        }
    }

    @Nested
    class PrefixCaching {

        private double hitRatio(RoutingPolicy policy, long seed) {
            SimulatedFleet fleet = new SimulatedFleet(policy, 1, 6, 200, 200);
            UniformRandomProvider random = random(seed);
            int[] turns = new int[60];
            for (long now = 0; now < 30_000; now += 1 + random.nextInt(40)) {
                fleet.reportLoad(now - now % 200);
                int conversation = random.nextInt(turns.length);
                turns[conversation] = Math.min(30, turns[conversation] + 1);
                fleet.sendRequest(0, prompt(conversation, turns[conversation]), 300, now, random);
            }
            return (double) fleet.cacheHits / fleet.requestedBlocks;
        }

        @Test
        @DisplayName("Guards against sending turns of a conversation to upstreams that do not have its prefix cached")
        void affinityHitRatioExceedsRoundRobin() {
            for (long seed = 1; seed <= 20; seed++) {
                double affinity = hitRatio(RoutingPolicy.AFFINITY, seed);
                double roundRobin = hitRatio(RoutingPolicy.ROUND_ROBIN, seed);
                assertThat(affinity).as("seed %d", seed).isGreaterThan(0.6).isGreaterThan(1.5 * roundRobin);
            }
        }

        @Test
        @DisplayName("Guards against assuming cached blocks at an upstream that has restarted")
        void restartedUpstreamHasNoCachedBlocks() {
            SimulatedFleet fleet = new SimulatedFleet(RoutingPolicy.AFFINITY, 1, 3, 50, 0);
            Router router = fleet.routers.get(0);
            PromptPrefix prefix = prompt(3, 10);
            RouteQuery query = RouteQuery.forModel(MODEL, HOME).withPrefix(prefix);
            RouteChoice first = router.choose(query, 0, random(1)).orElseThrow();
            router.recordSend(first, prefix, 0);
            assertThat(router.choose(query, 1, random(2)).orElseThrow().cachedBlocks())
                    .isEqualTo(10);
            fleet.tables.get(0).update(record(first.upstream(), 2, 1, UpstreamStatus.READY), 2);
            assertThat(router.choose(query, 3, random(3)).orElseThrow().cachedBlocks())
                    .isZero();
        }

        @Test
        @DisplayName("Guards against keeping evicted or removing cached blocks after late or missing cache events")
        void lateRepeatedAndMissingCacheEventsAreHandled() {
            UpstreamState state = new UpstreamState(record(new UpstreamId("u"), 1, 1, UpstreamStatus.READY));
            PrefixAffinity affinity = new PrefixAffinity(1024);
            PromptPrefix prefix = prompt(5, 4);
            long[] none = {};
            long[] last = {prefix.hash(3)};
            affinity.recordSend(state, prefix, 100);
            affinity.applyCacheEvent(state, new CacheEvent(1, 50, none, last));
            assertThat(affinity.cachedBlocks(state, prefix, prefix.blockCount()))
                    .as("evicted before it was sent")
                    .isEqualTo(4);
            affinity.applyCacheEvent(state, new CacheEvent(2, 150, none, last));
            assertThat(affinity.cachedBlocks(state, prefix, prefix.blockCount()))
                    .isEqualTo(3);
            affinity.applyCacheEvent(state, new CacheEvent(1, 150, last, none));
            assertThat(affinity.cachedBlocks(state, prefix, prefix.blockCount()))
                    .as("repeated event")
                    .isEqualTo(3);
            affinity.applyCacheEvent(state, new CacheEvent(9, 20_000, none, none));
            assertThat(affinity.cachedBlocks(state, prefix, prefix.blockCount()))
                    .as("events were lost")
                    .isZero();
        }
    }

    @Nested
    class CopyPreference {

        private final RoutingTable table = new RoutingTable();
        private final Router router = new Router(table, RoutingSettings.defaults(RoutingPolicy.AFFINITY));

        @Test
        @DisplayName(
                "Guards against loading an adapter that another upstream has ready, and against failing without one")
        void prefersLoadedAdapterThenBaseModel() {
            RouteTarget adapter = new RouteTarget.OfAdapter(new AdapterName("x"));
            UpstreamId loaded = new UpstreamId("loaded");
            for (int index = 0; index < 20; index++) {
                table.update(record(new UpstreamId("u" + index), 1, 1, UpstreamStatus.READY), 0);
            }
            table.update(new UpstreamRecord(loaded, HOME, 1, 1, UpstreamStatus.READY, Set.of(TARGET, adapter)), 0);
            RouteQuery query = RouteQuery.forAdapter(new AdapterName("x"), MODEL, HOME);
            assertThat(router.choose(query, 20_000, random(1)).orElseThrow().upstream())
                    .isEqualTo(loaded);
            RouteChoice other = router.choose(query.withExcluded(Set.of(loaded)), 20_000, random(1))
                    .orElseThrow();
            assertThat(other.servedTarget()).isEqualTo(TARGET);
        }

        @Test
        @DisplayName("Guards against needless use of other failure domains, and against overload of a full home domain")
        void prefersHomeDomainUntilItsSlotsAreFull() {
            UpstreamId near = new UpstreamId("near");
            UpstreamId far = new UpstreamId("far");
            table.update(record(near, 1, 1, UpstreamStatus.READY), 0);
            table.update(
                    new UpstreamRecord(far, new FailureDomain("b"), 1, 1, UpstreamStatus.READY, Set.of(TARGET)), 0);
            table.updateLoad(near, 1, new UpstreamLoad(1, 0, 8, 0, 1));
            table.updateLoad(far, 1, new UpstreamLoad(0, 0, 8, 0, 1));
            RouteQuery query = RouteQuery.forModel(MODEL, HOME);
            assertThat(router.choose(query, 20_000, random(1)).orElseThrow().upstream())
                    .isEqualTo(near);
            table.updateLoad(near, 1, new UpstreamLoad(8, 4, 8, 0, 2));
            assertThat(router.choose(query, 20_000, random(1)).orElseThrow().upstream())
                    .isEqualTo(far);
        }

        @Test
        @DisplayName("Guards against a new copy receiving all requests while its caches are empty")
        void newCopyGetsReducedWeightDuringSlowStart() {
            SimulatedFleet fleet = new SimulatedFleet(RoutingPolicy.AFFINITY, 1, 3, 50, 0);
            fleet.nodes.add(new SimulatedFleet.Node("fresh"));
            fleet.tables.get(0).update(record(new UpstreamId("fresh"), 1, 1, UpstreamStatus.READY), 0);
            UniformRandomProvider random = random(11);
            for (long now = 0; now < 3000; now += 20) {
                fleet.reportLoad(now - now % 50);
                fleet.sendRequest(0, PromptPrefix.empty(), 400, now, random);
            }
            int fresh = fleet.nodes.get(3).startedRequests;
            assertThat(fresh).isBetween(1, 150 / 4 / 2);
            SlowStart slowStart = new SlowStart(10_000, 0.1);
            assertThat(slowStart.weight(0, 0)).isEqualTo(0.1);
            assertThat(slowStart.weight(0, 5_000)).isBetween(0.5, 0.6);
            assertThat(slowStart.weight(0, 10_000)).isEqualTo(1);
        }
    }

    @Test
    @DisplayName("Guards against a lookup that finds an empty group while its last copy is being removed")
    void choosesWithoutErrorWhileOnlyCopyIsAddedAndRemoved() throws Exception {
        RoutingTable table = new RoutingTable();
        UpstreamId id = new UpstreamId("u");
        Thread writer = new Thread(() -> {
            for (int sequence = 1; sequence <= 50_000; sequence++) {
                boolean ready = sequence % 2 == 0;
                table.update(record(id, 1, sequence, ready ? UpstreamStatus.READY : UpstreamStatus.LEAVING), 0);
            }
        });
        RouteQuery query = RouteQuery.forModel(MODEL, HOME);
        writer.start();
        do {
            for (RoutingPolicy policy : RoutingPolicy.values()) {
                Router router = new Router(table, RoutingSettings.defaults(policy));
                for (int draw = 0; draw < 1000; draw++) {
                    router.choose(query, 0, random(draw));
                }
            }
        } while (writer.isAlive());
        writer.join();
        Router router = new Router(table, RoutingSettings.defaults(RoutingPolicy.AFFINITY));
        assertThat(router.choose(query, 0, random(1))).isPresent();
    }

    @Property(tries = 300, seed = "42")
    void neverChoosesLeavingOrExcludedUpstreams(
            @ForAll @IntRange(min = 1, max = 30) int size, @ForAll @LongRange(min = 1) long seed) {
        UniformRandomProvider random = random(seed);
        for (RoutingPolicy policy : RoutingPolicy.values()) {
            RoutingTable table = new RoutingTable();
            Router router = new Router(table, RoutingSettings.defaults(policy));
            Set<UpstreamId> usable = new HashSet<>();
            Set<UpstreamId> excluded = new HashSet<>();
            PromptPrefix prefix = prompt(1, 3);
            for (int index = 0; index < size; index++) {
                UpstreamId id = new UpstreamId("u" + index);
                table.update(record(id, 1, 1, UpstreamStatus.READY), 0);
                router.recordSend(new RouteChoice(id, 1, TARGET, 0, 0), prefix, 1);
                if (random.nextInt(4) == 0) {
                    table.update(record(id, 1, 3, UpstreamStatus.LEAVING), 2);
                    table.update(record(id, 1, 2, UpstreamStatus.READY), 3);
                    if (random.nextBoolean()) {
                        table.remove(id, 3);
                        table.update(record(id, 1, 2, UpstreamStatus.READY), 4);
                    }
                } else if (excluded.size() < 3 && random.nextInt(4) == 0) {
                    excluded.add(id);
                } else {
                    usable.add(id);
                }
                for (int failure = 0; failure < random.nextInt(8); failure++) {
                    router.recordFailure(new RouteChoice(id, 1, TARGET, 0, 0), 4);
                }
            }
            RouteQuery query =
                    RouteQuery.forModel(MODEL, HOME).withPrefix(prefix).withExcluded(excluded);
            for (int draw = 0; draw < 20; draw++) {
                var choice = router.choose(query, 5, random);
                assertThat(choice.isPresent()).isEqualTo(!usable.isEmpty());
                choice.ifPresent(chosen -> {
                    assertThat(usable).contains(chosen.upstream());
                    if (policy == RoutingPolicy.AFFINITY) {
                        assertThat(chosen.examinedCount()).isLessThanOrEqualTo(8);
                    }
                });
            }
        }
    }
}
