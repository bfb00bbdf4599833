package io.oleandermoor.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.quarantine.QuarantineStore;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.evacuation.EvacuationSchedule;
import io.oleandermoor.state.quarantine.RequestQuarantine.Quarantine;
import io.oleandermoor.state.restore.RestoreWindow;
import io.oleandermoor.transport.settings.Address;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Restores the store beside the parts of an entry that follow it or write to it. */
class StoreRestoreTest {

    private static final Duration LIMIT = Duration.ofSeconds(12);
    /** Shorter than the window after a restore, less the time until the restore is heard of. */
    private static final Duration WITHIN_WINDOW = Duration.ofMillis(RestoreWindow.DURATION_MILLIS - 1_000);

    private static final String OWN_KEY = "oleandermoor/entries/entry-1";
    private static final String PEER_KEY = "oleandermoor/entries/entry-2";
    private static final String ADDRESS = "127.0.0.1:9";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final EvacuationSchedule evacuations = new EvacuationSchedule(5_000);
    private final DeploymentView view = new DeploymentView("entry-1", new InstanceTable("a", 1));
    private StoreStandIn store;
    private StoreClient client;

    @BeforeEach
    void start() throws Exception {
        store = new StoreStandIn();
        store.setEra(1);
        client = new StoreClient(loop, Address.parse(store.address()).toSocketAddress(), 1_000);
        RestoreObserver.start(client, view, metrics);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private void awaitOnLoop(Callable<Boolean> condition) {
        await().atMost(LIMIT).until(() -> onLoop(condition));
    }

    private void startFleetFollower() {
        loop.execute(() -> FleetFollower.start(
                loop, client, view, 3_000, new EvacuationListener(loop, view, evacuations, metrics)));
    }

    private void awaitRestoreSeen() {
        awaitOnLoop(() -> view.restoreWindow().isOpen(Timestamp.monotonicNowMillis()));
    }

    private static String registration(String state, int port) {
        return "{\"service\":\"shop\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"slots\":4,\"state\":\""
                + state + "\",\"models\":[],\"born\":1}";
    }

    @Nested
    class Evacuations {

        private boolean isEvacuated() {
            return evacuations.failureDomains().contains("a");
        }

        /** Guards against requests to an evacuated failure domain because the copy lacks the operator's request. */
        @Test
        void absenceEndsNoneBeforeTheWindowEnds() {
            store.takeCopy();
            store.put("op/evacuate/a", "{}");
            startFleetFollower();
            awaitOnLoop(this::isEvacuated);
            store.restore();
            awaitRestoreSeen();
            await().during(WITHIN_WINDOW).atMost(LIMIT).until(() -> onLoop(this::isEvacuated));
            awaitOnLoop(() -> !isEvacuated());
        }
    }

    @Nested
    class Instances {

        @BeforeEach
        void follow() {
            store.put("servers/old", registration("ready", 9));
            store.takeCopy();
            startFleetFollower();
            awaitOnLoop(() -> isKnown("old"));
        }

        private boolean isKnown(String id) {
            return view.instances().state(id).isPresent();
        }

        private boolean isDraining(String id) {
            return view.instances().state(id).orElseThrow().instance().draining();
        }

        /** Guards against requests that fail because the copy lacks an instance that writes its registration again. */
        @Test
        void absenceRemovesNothingBeforeTheWindowEnds() {
            store.put("servers/new", registration("ready", 10));
            awaitOnLoop(() -> isKnown("new"));
            store.restore();
            awaitRestoreSeen();
            await().during(WITHIN_WINDOW).atMost(LIMIT).until(() -> onLoop(() -> isKnown("new")));
            awaitOnLoop(() -> !isKnown("new"));
            assertThat(new String(metrics.text(), StandardCharsets.UTF_8))
                    .contains("oleandermoor_store_restores_total 1");
        }

        /** Guards against a follower that waits for a revision that the store assigns again, and misses changes. */
        @Test
        void changesWithRevisionsAssignedAgainAreApplied() {
            store.put("servers/new", registration("ready", 10));
            awaitOnLoop(() -> isKnown("new"));
            store.restore();
            store.put("servers/other", registration("ready", 11));
            awaitOnLoop(() -> isKnown("other"));
        }

        /** Guards against new requests to an instance that is about to stop. */
        @Test
        void drainingRunStaysDraining() {
            store.put("servers/old", registration("draining", 9));
            awaitOnLoop(() -> isDraining("old"));
            store.restore();
            awaitRestoreSeen();
            await().during(WITHIN_WINDOW).atMost(LIMIT).until(() -> onLoop(() -> isDraining("old")));
        }

        @Test
        void removedRunStaysRemoved() {
            store.remove("servers/old");
            awaitOnLoop(() -> !isKnown("old"));
            store.restore();
            awaitRestoreSeen();
            await().during(WITHIN_WINDOW).atMost(LIMIT).until(() -> onLoop(() -> !isKnown("old")));
        }
    }

    @Nested
    class Membership {

        private EntryMembership membership;

        @BeforeEach
        void register() {
            store.takeCopy();
            store.put(PEER_KEY, ADDRESS);
            membership = new EntryMembership(loop, client, view, Address.parse("127.0.0.1:8"));
            loop.execute(membership::start);
            awaitOnLoop(() -> view.isRegistered() && membership.peers().containsKey("entry-2"));
        }

        @Test
        void registersAgainAndKeepsOtherEntriesWithinTheWindow() {
            store.restore();
            await().atMost(Duration.ofSeconds(3))
                    .until(() -> !store.value(OWN_KEY).isEmpty());
            assertThat(store.leaseOf(OWN_KEY)).isPositive();
            awaitRestoreSeen();
            await().during(WITHIN_WINDOW)
                    .atMost(LIMIT)
                    .until(() -> onLoop(() -> membership.peers().containsKey("entry-2")));
            awaitOnLoop(() -> !membership.peers().containsKey("entry-2"));
            assertThat(store.value(OWN_KEY)).isNotEmpty();
        }

        /** Guards against an entry that stays registered after it stops, because it ends the lease of before. */
        @Test
        void leavesUnderTheNewLease() throws Exception {
            store.setUnavailable(true);
            store.restore();
            store.setUnavailable(false);
            awaitRestoreSeen();
            await().atMost(LIMIT).until(() -> !store.value(OWN_KEY).isEmpty());
            assertThat(membership.leave().subscribeOn(Schedulers.from(loop)).blockingGet())
                    .isTrue();
            await().atMost(LIMIT).until(() -> store.value(OWN_KEY).isEmpty());
        }
    }

    @Nested
    class Quarantines {

        private static final String KEY = "oleandermoor/quarantines/trait-1";

        /** Guards against a prompt that ends instances again after all entries restart, because the copy lacks it. */
        @Test
        void activeOnesAreWrittenAgain() throws Exception {
            QuarantineCoordinator coordinator = new QuarantineCoordinator(loop, metrics);
            store.takeCopy();
            loop.submit(new QuarantineStore(loop, client, coordinator)::start).sync();
            awaitOnLoop(() -> client.era() > 0);
            long untilMillis = Timestamp.monotonicNowMillis() + 60_000;
            onLoop(() -> {
                coordinator.restore(new Quarantine("trait-1", Set.of(), untilMillis, true), "test");
                return coordinator.active().size();
            });
            store.restore();
            client.read(KEY).subscribeOn(Schedulers.from(loop)).blockingSubscribe(item -> {}, cause -> {});
            await().atMost(LIMIT).until(() -> store.value(KEY).contains("repeated"));
        }
    }
}
