package io.oleandermoor.daemon.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.lease.LeaseKeeper;
import io.oleandermoor.coordination.lease.LeaseSettings;
import io.oleandermoor.coordination.lease.OwnershipPreference;
import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.DemandReport;
import io.oleandermoor.protocol.message.ModelDemand;
import io.oleandermoor.protocol.message.StepGrant;
import io.oleandermoor.protocol.message.StepRequest;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.configuration.FleetSettings;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.WeightStoreLimits;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.placement.EngineStatus;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementOwnerRoleTest {

    private static final InstanceId SELF = new InstanceId("entry-1");

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(scheduler);
    private Configuration configuration = Configuration.empty();
    private final PlacementOwnerRole role = role("first");
    private final LeaseKeeper keeper = new LeaseKeeper(
            store,
            scheduler,
            this::nowMillis,
            LeaseSettings.DEFAULT,
            OwnershipPreference.rendezvous(SELF, () -> List.of(SELF)),
            SELF,
            1);

    private PlacementOwnerRole role(String writerName) {
        ConditionalWriter writer = new ConditionalWriter(store, scheduler, writerName);
        return new PlacementOwnerRole(
                new StoredValue(store, writer, PlacementOwnerRole.PLAN_NAME),
                new DemandKeeper(
                        new StoredValue(store, writer, DemandKeeper.ARCHIVE_NAME),
                        () -> Instant.EPOCH.plusMillis(nowMillis())),
                () -> configuration,
                upstream -> EngineStatus.LIVE,
                this::nowMillis,
                ownership -> {});
    }

    private long nowMillis() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    private void configure(long version, int concurrentLoads) throws Exception {
        List<Model> models = IntStream.range(0, 6)
                .mapToObj(index -> new Model(new ModelName("model-" + index), "1", 100, 1))
                .toList();
        FleetSettings settings = new FleetSettings(null, new WeightStoreLimits(10_000, concurrentLoads, 16), List.of());
        configuration = Configuration.of(
                version, new ConfigurationDocument(List.of(), List.of(), models, List.of(), List.of(), settings));
    }

    private void announceEngines(int count) {
        for (int engine = 0; engine < count; engine++) {
            role.announced(new UpstreamDescription(
                    "agent-" + engine,
                    "engine-" + engine,
                    "",
                    "domain-" + engine,
                    false,
                    1,
                    1,
                    1_000,
                    List.of(),
                    List.of()));
        }
    }

    private void runSeconds(int seconds) {
        for (int second = 0; second < seconds; second++) {
            scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
            role.tick();
        }
    }

    private StepGrant ask(String engine) {
        return role.handle(
                StepRequest.newBuilder().setSequence(1).setUpstream(engine).build());
    }

    private int stepsOfAll() {
        return IntStream.range(0, 3)
                .map(engine -> ask("engine-" + engine).getStepsCount())
                .sum();
    }

    private long planRevision() {
        return store.get(PlacementOwnerRole.PLAN_NAME)
                .blockingGet()
                .map(value -> value.revision())
                .orElse(0L);
    }

    @BeforeEach
    void own() throws Exception {
        keeper.register(PlacementOwnerRole.NAME, role);
        keeper.start();
        configure(1, 2);
        announceEngines(3);
        runSeconds(8);
    }

    @Nested
    class Plans {

        /** Guards against calls to the key-value service, and plans, that repeat while nothing changes. */
        @Test
        void areNotRepeatedWhileNothingChanges() {
            assertThat(planRevision()).isPositive();
            long reads = store.calls().reads();
            long writes = store.calls().writes();
            runSeconds(30);
            assertThat(store.calls().reads() - reads).isZero();
            assertThat(store.calls().writes() - writes).isZero();
        }

        /** Guards against a plan that is not in force although the service holds a newer one of another owner. */
        @Test
        void continueAfterAWriteOfAnotherOwner() throws Exception {
            byte[] other = ConditionalWriter.content(
                    store.get(PlacementOwnerRole.PLAN_NAME).blockingGet().orElseThrow());
            assertThat(new ConditionalWriter(store, scheduler, "other")
                            .write(PlacementOwnerRole.PLAN_NAME, planRevision(), other, Optional.empty())
                            .blockingGet()
                            .applied())
                    .isTrue();
            long revision = planRevision();
            announceEngines(4);
            runSeconds(3);
            assertThat(planRevision()).isGreaterThan(revision);
        }
    }

    @Nested
    class Steps {

        /** Guards against changed limits that take effect only with the next owner. */
        @Test
        void followChangedLimitsOfTheWeightStore() throws Exception {
            assertThat(stepsOfAll()).isEqualTo(2);
            runSeconds(1);
            assertThat(stepsOfAll()).isZero();
            configure(2, 5);
            runSeconds(1);
            assertThat(stepsOfAll()).isEqualTo(3);
        }

        /** Guards against steps that wait for a rare request of an agent, and against repeated notifications. */
        @Test
        void areMadeKnownToAgentsThatHaveNotAsked() {
            assertThat(role.enginesToNotify()).isNotEmpty();
            assertThat(role.enginesToNotify()).isEmpty();
            runSeconds(1);
            assertThat(role.enginesToNotify()).isNotEmpty();
            runSeconds(1);
            stepsOfAll();
            assertThat(role.enginesToNotify()).isEmpty();
        }

        /** Guards against a lost grant that takes a permit of the weight store until the permit expires. */
        @Test
        void areGrantedAgainAfterALostGrant() {
            assertThat(stepsOfAll()).isEqualTo(2);
            runSeconds(2);
            assertThat(role.enginesToNotify()).isNotEmpty();
            runSeconds(5);
            assertThat(stepsOfAll() + stepsOfAll()).isEqualTo(2);
        }

        /** Guards against a step that is granted twice because the steps were computed before the first grant. */
        @Test
        void areGrantedOnce() throws Exception {
            configure(2, 16);
            runSeconds(1);
            int first = stepsOfAll();
            assertThat(first).isPositive();
            assertThat(stepsOfAll()).isZero();
        }
    }

    @Nested
    class Demand {

        /** Guards against a new owner that knows nothing of the days before. */
        @Test
        void isKeptForTheNextOwner() {
            DemandReport report = DemandReport.newBuilder()
                    .setIntervalMillis(1_000)
                    .addDemands(ModelDemand.newBuilder().setModel("model-1").setTokens(500))
                    .build();
            for (int second = 0; second < 660; second += 20) {
                role.demand("entry-1", report);
                runSeconds(20);
            }
            String archive = new String(
                    store.get(DemandKeeper.ARCHIVE_NAME)
                            .blockingGet()
                            .orElseThrow()
                            .value(),
                    StandardCharsets.UTF_8);
            // The first of the 11 samples was taken before the demand began.
            assertThat(archive).contains("\"samples\":[11]").contains("\"model-1\":[455]");
        }
    }
}
