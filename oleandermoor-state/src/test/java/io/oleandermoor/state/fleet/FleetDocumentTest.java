package io.oleandermoor.state.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class FleetDocumentTest {

    private static HostRoute route(String name, String prefix, HostRoute.WeightedService... services) {
        return new HostRoute(
                name,
                "h",
                prefix,
                RequestKind.SAFE,
                1_000,
                100,
                0,
                0,
                List.of(services),
                1,
                new HostRoute.Traits(false, false, false));
    }

    private static final HostRoute.WeightedService ALL = new HostRoute.WeightedService("s", 1);

    private final FleetDocument document = new FleetDocument(
            3,
            List.of(route("short", "/a/", ALL), route("long", "/a/b/", ALL)),
            List.of(),
            List.of(new TeamLimits("t", List.of("k1", "k2"), OptionalInt.empty(), 0, 0, 5)),
            new CallerLimits(1, 1, 1, 1));

    @Test
    void returnsTheRouteWithTheLongestPrefix() {
        assertThat(document.route("h", "/a/b/c").map(HostRoute::name)).contains("long");
        assertThat(document.route("h", "/a/c").map(HostRoute::name)).contains("short");
        assertThat(document.route("h", "/b/")).isEmpty();
        assertThat(document.route("other", "/a/")).isEmpty();
    }

    @Test
    void returnsTheTeamOfEachKey() {
        assertThat(document.teamOfKey("k2").map(TeamLimits::name)).contains("t");
        assertThat(document.teamOfKey("k3")).isEmpty();
    }

    @Test
    void distributesRequestsByServiceWeight() {
        HostRoute split =
                route("split", "/", new HostRoute.WeightedService("a", 90), new HostRoute.WeightedService("b", 10));
        assertThat(split.serviceFor(0.899)).isEqualTo("a");
        assertThat(split.serviceFor(0.901)).isEqualTo("b");
    }
}
