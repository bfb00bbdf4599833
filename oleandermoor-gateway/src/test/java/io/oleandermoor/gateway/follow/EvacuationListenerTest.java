package io.oleandermoor.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.FleetDocumentDecoder;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.evacuation.EvacuationSchedule;
import io.oleandermoor.state.evacuation.EvacuationSchedule.Phase;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvacuationListenerTest {

    private static final StoreItem EVACUATION = item("op/evacuate/b", "not json {");
    private static final StoreItem CONFIGURATION = item(
            "op/config",
            "{\"version\":3,\"limits\":{\"max-header-bytes\":1,\"max-body-bytes\":1,"
                    + "\"header-timeout-ms\":1,\"idle-timeout-ms\":1}}");

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final DeploymentView view = new DeploymentView("entry-1", new InstanceTable("a", 1));
    private final EvacuationSchedule schedule = new EvacuationSchedule(5_000);
    private final StoreFollower.Listener listener = new EvacuationListener(
                    group.next(), view, schedule, new GatewayMetrics())
            .andThen(new ConfigurationListener(view, FleetDocumentDecoder::decode));

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static StoreItem item(String key, String value) {
        return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), 7, false);
    }

    private static StoreReadResult reading(StoreItem... items) {
        return new StoreReadResult(List.of(items), 9);
    }

    @Nested
    class Deadline {

        /** Guards against sending too late to the domain, as the request may be as old as the last confirmation. */
        @Test
        void countsFromTheLastTimeWithoutTheRequest() {
            listener.onSnapshot(reading(), Timestamp.now().plus(-60_000));
            listener.onChanges(reading(), Timestamp.now().plus(-1_000));
            long before = Timestamp.monotonicNowMillis();
            listener.onChanges(reading(EVACUATION), Timestamp.now());
            assertThat(schedule.phase("b", before + 1_500)).isEqualTo(Phase.LEAVING);
            assertThat(schedule.phase("b", Timestamp.monotonicNowMillis() + 2_500))
                    .isEqualTo(Phase.EVACUATED);
        }

        /** Guards against time granted to an entry that cannot know when the evacuation was requested. */
        @Test
        void isImmediateAtTheStartAndAfterALongTimeOutOfContact() {
            listener.onSnapshot(
                    reading(item("op/evacuate/c", "{}")), Timestamp.now().plus(-8_000));
            assertThat(schedule.phase("c", Timestamp.monotonicNowMillis())).isEqualTo(Phase.EVACUATED);
            listener.onSnapshot(reading(EVACUATION), Timestamp.now());
            assertThat(schedule.phase("b", Timestamp.monotonicNowMillis())).isEqualTo(Phase.EVACUATED);
        }
    }

    @Nested
    class End {

        /** Guards against serving with a confirmed configuration from an instance that still counts as warm. */
        @Test
        void precedesTheConfirmationOfTheConfigurationInTheSameReading() {
            List<Long> confirmationAges = new ArrayList<>();
            schedule.setReadmissionListener((domain, nowMillis) -> confirmationAges.add(view.confirmationAgeMillis()));
            listener.onSnapshot(reading(EVACUATION), Timestamp.now());
            listener.onChanges(reading(), Timestamp.now());
            assertThat(schedule.failureDomains()).containsExactly("b");
            listener.onSnapshot(reading(CONFIGURATION), Timestamp.now());
            assertThat(confirmationAges).containsExactly(Long.MAX_VALUE);
            assertThat(view.confirmationAgeMillis()).isLessThan(60_000);
        }
    }

    @Nested
    class OtherKeys {

        @Test
        void affectNeitherEvacuationsNorConfiguration() {
            listener.onSnapshot(
                    reading(item("op/", "x"), item("op/evacuate/", "{}"), EVACUATION, item("op/x", "["), CONFIGURATION),
                    Timestamp.now());
            listener.onChanges(reading(new StoreItem("op/evacuate/c", new byte[0], 8, true)), Timestamp.now());
            assertThat(schedule.failureDomains()).containsExactly("b");
            assertThat(view.confirmationAgeMillis()).isLessThan(60_000);
        }
    }
}
