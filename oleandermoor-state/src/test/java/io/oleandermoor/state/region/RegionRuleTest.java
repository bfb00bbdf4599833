package io.oleandermoor.state.region;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.InstanceTable.Terms;
import io.oleandermoor.state.dispatch.Prompt;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.VersionRequirement;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RegionRuleTest {

    private final InstanceTable table = new InstanceTable("a", 1);

    private void put(String id, String failureDomain) {
        UpstreamInstance instance = new UpstreamInstance(
                id,
                "shop",
                "10.0.0.1",
                80,
                failureDomain,
                4,
                false,
                OptionalLong.empty(),
                Map.of(),
                Set.of(),
                1,
                SoftwareVersion.UNSTATED);
        table.put(instance, 0);
    }

    private InstanceSelection choose(Set<String> allowedRegions) {
        Terms terms = new Terms(0, Long.MAX_VALUE, allowedRegions, VersionRequirement.NONE);
        return table.choose(new InstanceQuery("shop", Optional.empty(), Prompt.NONE, Set.of(), terms), 0);
    }

    @BeforeEach
    void putInstances() {
        table.addRule(new RegionRule(Map.of("a", "east", "b", "west", "c", "", "", "")));
        put("in-a", "a");
        put("in-c", "c");
        put("in-d", "");
        table.updatePeerLoads("other-entry", Map.of("in-a", 7), Map.of(), 0);
    }

    @Nested
    class Choosing {

        /** Guards against a less loaded instance outside of the allowed regions, or of an unknown region. */
        @Test
        void onlyInstancesOfAllowedRegionsAreChosen() {
            assertThat(choose(Set.of("east", "north")).instance().map(UpstreamInstance::id))
                    .contains("in-a");
            assertThat(choose(Set.of("west")).shortage())
                    .contains(Shortage.NO_ALLOWED_INSTANCE)
                    .hasValueSatisfying(
                            shortage -> assertThat(shortage.refusedAtOnce()).isTrue());
        }
    }

    @Nested
    class Intersection {

        @Test
        void bothListsApplyAndEmptyOnesAllowAll() {
            assertThat(AllowedRegions.intersection(Set.of(), Set.of("east"))).containsExactly("east");
            assertThat(AllowedRegions.intersection(Set.of("east"), Set.of())).containsExactly("east");
            assertThat(AllowedRegions.intersection(Set.of(), Set.of())).isEmpty();
            assertThat(AllowedRegions.intersection(Set.of("east", "west"), Set.of("west", "north")))
                    .containsExactly("west");
        }

        /** Guards against treating two lists without a common region as no restriction. */
        @Test
        void listsWithoutCommonRegionAllowNone() {
            Set<String> none = AllowedRegions.intersection(Set.of("east"), Set.of("west"));
            assertThat(choose(none).shortage()).contains(Shortage.NO_ALLOWED_INSTANCE);
        }
    }
}
