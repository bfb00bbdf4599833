package io.oleandermoor.state.routing;

import static io.oleandermoor.state.routing.SimulatedFleet.HOME;
import static io.oleandermoor.state.routing.SimulatedFleet.MODEL;
import static io.oleandermoor.state.routing.SimulatedFleet.record;
import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.UpstreamId;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {

    private static final RouteTarget TARGET = new RouteTarget.OfModel(MODEL);

    private final RoutingTable table = new RoutingTable();
    private final Router router = new Router(table, RoutingSettings.defaults(RoutingPolicy.AFFINITY));

    private static UpstreamId id(int index) {
        return new UpstreamId("u" + index);
    }

    private static RouteChoice choice(int index) {
        return new RouteChoice(id(index), 1, TARGET, 0, 0);
    }

    private void addUpstreams(int copies) {
        IntStream.range(0, copies)
                .forEach(index -> table.update(record(id(index), 1, 1, UpstreamStatus.READY), -60_000));
    }

    private void fail(int index, int times, long nowMillis) {
        IntStream.range(0, times).forEach(time -> router.recordFailure(choice(index), nowMillis));
    }

    @Test
    @DisplayName("Guards against sending all requests to a failing upstream again before a probe has succeeded")
    void repeatedFailureDoublesEjectionUntilProbeSucceeds() {
        addUpstreams(4);
        fail(0, 4, 0);
        assertThat(router.isEjected(id(0), 0)).isFalse();
        fail(0, 1, 0);
        assertThat(router.isEjected(id(0), 4_999)).isTrue();
        assertThat(router.isEjected(id(0), 5_000)).as("probe is due").isFalse();
        router.recordSend(choice(0), PromptPrefix.empty(), 5_000);
        assertThat(router.isEjected(id(0), 5_001)).as("one probe at a time").isTrue();
        assertThat(router.isEjected(id(0), 15_000)).as("probe was lost").isFalse();
        router.recordFailure(choice(0), 15_000);
        assertThat(router.isEjected(id(0), 24_999))
                .as("second ejection is twice as long")
                .isTrue();
        router.recordSend(choice(0), PromptPrefix.empty(), 25_000);
        router.recordSuccess(choice(0), 10, 25_010);
        assertThat(router.isEjected(id(0), 25_011)).isFalse();
        fail(0, 4, 25_020);
        assertThat(router.isEjected(id(0), 25_021)).isFalse();
    }

    @Test
    @DisplayName("Guards against an upstream with high latency continuing to receive its share of the requests")
    void ejectsUpstreamWithHighLatency() {
        addUpstreams(5);
        for (int round = 0; round < 64; round++) {
            for (int index = 0; index < 5; index++) {
                router.recordSuccess(choice(index), index == 2 ? 900 : 100 + index, round);
            }
        }
        assertThat(router.isEjected(id(2), 64)).isTrue();
        assertThat(IntStream.of(0, 1, 3, 4).noneMatch(index -> router.isEjected(id(index), 64)))
                .isTrue();
    }

    @Property(tries = 200, seed = "7")
    void ejectsAtMostHalfOfTheCopies(
            @ForAll @IntRange(min = 1, max = 12) int copies, @ForAll @LongRange(min = 1) long seed) {
        UniformRandomProvider random = RouterTest.random(seed);
        addUpstreams(copies);
        for (int step = 0; step < 400; step++) {
            int index = random.nextInt(copies);
            long now = step * 100L;
            switch (random.nextInt(10)) {
                case 0 -> router.recordSuccess(choice(index), random.nextInt(1000), now);
                case 1 -> table.update(record(id(index), 1, step + 2L, UpstreamStatus.LEAVING), now);
                case 2 -> table.update(record(id(index), 1, step + 2L, UpstreamStatus.READY), now);
                default -> fail(index, 3, now);
            }
            CopyGroup group = table.group(TARGET);
            if (group != null) {
                assertThat(2 * group.ejectedCount(now)).isLessThanOrEqualTo(group.all.length);
                assertThat(router.choose(RouteQuery.forModel(MODEL, HOME), now, random))
                        .isPresent();
            }
        }
    }
}
