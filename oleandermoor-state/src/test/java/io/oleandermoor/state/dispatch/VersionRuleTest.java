package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.InstanceTable.Terms;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.VersionRequirement;
import io.oleandermoor.state.version.VersionRoster;
import io.oleandermoor.state.version.VersionRoster.Use;
import io.oleandermoor.state.version.VersionRoster.UsedVersion;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VersionRuleTest {

    private static final String SERVICE = "words";
    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");

    private final VersionRoster roster = new VersionRoster();
    private final InstanceTable table = new InstanceTable("a", 1);

    @BeforeEach
    void putInstances() {
        table.addRule(new VersionRule(roster, instance -> {}));
        roster.replaceRecorded(
                List.of(new UsedVersion(SERVICE, OLD, Use.IN_USE), new UsedVersion(SERVICE, NEW, Use.IN_USE)));
        put("old", OLD, false);
        put("new", NEW, false);
    }

    private void put(String id, SoftwareVersion version, boolean draining) {
        table.put(
                new UpstreamInstance(
                        id,
                        SERVICE,
                        "10.0.0.1",
                        80,
                        "a",
                        1,
                        draining,
                        OptionalLong.empty(),
                        Map.of(),
                        Set.of(),
                        1,
                        version),
                0);
    }

    private InstanceSelection choose(VersionRequirement requirement, String... excluded) {
        return table.choose(
                new InstanceQuery(
                        SERVICE, Optional.empty(), Prompt.NONE, Set.of(excluded), Terms.NONE.with(requirement)),
                0);
    }

    @Nested
    class AStreamThatGoesOn {

        private final VersionRequirement goOn = VersionRequirement.goOnAt(OLD);

        @Test
        void isSentToTheVersionThatBeganIt() {
            assertThat(choose(goOn).instance().map(UpstreamInstance::id)).contains("old");
        }

        /** Guards against a wait until the deadline for a version that does not come back. */
        @Test
        void isRefusedAtOnceWithoutAnInstanceOfItsVersion() {
            table.remove("old");
            assertThat(choose(goOn).shortage()).contains(Shortage.NO_INSTANCE_OF_VERSION);
            assertThat(Shortage.NO_INSTANCE_OF_VERSION.refusedAtOnce()).isTrue();
        }

        @Test
        void isRefusedAtOnceWhenTheOnlyInstanceOfItsVersionHasBeenTried() {
            assertThat(choose(goOn, "old").shortage()).contains(Shortage.NO_INSTANCE_OF_VERSION);
        }

        /** Guards against a refusal although a slot at its version comes free soon. */
        @Test
        void waitsWhileAllInstancesOfItsVersionAreFull() {
            table.updatePeerLoads("other-entry", Map.of("old", 9), Map.of(), 0);
            assertThat(choose(goOn).shortage()).contains(Shortage.FULL);
        }

        @Test
        void isRefusedAsLeavingWhileTheOnlyInstanceOfItsVersionLeaves() {
            put("old", OLD, true);
            assertThat(choose(goOn).shortage()).contains(Shortage.WITHDRAWN);
        }
    }

    @Nested
    class AStreamOfAnUnknownVersion {

        @Test
        void isRefusedAtOnce() {
            assertThat(choose(VersionRequirement.UNKNOWN).shortage()).contains(Shortage.NO_INSTANCE_OF_VERSION);
        }
    }

    @Nested
    class AStreamThatBegins {

        @Test
        void isSentOnlyToVersionsThatAreRecorded() {
            table.remove("old");
            roster.removeRecord(SERVICE, NEW);
            assertThat(choose(VersionRequirement.BEGIN).instance()).isEmpty();
            assertThat(choose(VersionRequirement.BEGIN).shortage())
                    .hasValueSatisfying(
                            shortage -> assertThat(shortage.refusedAtOnce()).isFalse());
            assertThat(choose(VersionRequirement.NONE).instance()).isPresent();
        }
    }
}
