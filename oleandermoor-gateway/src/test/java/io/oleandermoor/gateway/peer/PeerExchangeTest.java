package io.oleandermoor.gateway.peer;

import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.FleetDocumentDecoder;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.state.version.SoftwareVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the exchange of reports between several entries over loopback, on one event loop. */
class PeerExchangeTest {

    private static final int ENTRY_COUNT = 40;
    private static final int ENGINE_COUNT = 80;
    private static final ModelTarget TARGET = ModelTarget.parse("m");
    private static final int ORDER_HOLDER_INDEX = 0;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final List<TestEntry> entries = new ArrayList<>();

    private final class TestEntry {

        private final DeploymentView view;
        private final DemandTracker demands = new DemandTracker();
        private final PeerExchange exchange;

        private TestEntry(String name) {
            view = new DeploymentView(name, new InstanceTable("a", 1));
            exchange = new PeerExchange(
                    loop,
                    view,
                    demands,
                    new QuarantineCoordinator(loop, new GatewayMetrics()),
                    new GatewayMetrics(),
                    () -> others(name),
                    () -> Map.of(TARGET, new DemandTracker.RequestCounts(1, 0)));
        }
    }

    private Map<String, InetSocketAddress> others(String name) {
        Map<String, InetSocketAddress> others = new HashMap<>(addresses);
        others.remove(name);
        return others;
    }

    @BeforeEach
    void start() throws Exception {
        for (int index = 0; index < ENTRY_COUNT; index++) {
            TestEntry entry = new TestEntry("entry-" + index);
            entries.add(entry);
            // A port that is chosen before it is bound may be taken in between.
            addresses.put("entry-" + index, entry.exchange.bind(new InetSocketAddress("127.0.0.1", 0)));
        }
        for (TestEntry entry : entries) {
            loop.submit(() -> prepare(entry)).sync();
        }
    }

    private void startAll() {
        entries.forEach(entry -> entry.exchange.startReports());
    }

    private void prepare(TestEntry entry) {
        for (int engine = 0; engine < ENGINE_COUNT; engine++) {
            entry.view.instances().put(engine(engine), 0);
        }
        entry.view.setPeers(others(entry.view.entry()).keySet());
        entry.view.instances().state("engine-1").orElseThrow().requestSent();
    }

    private static UpstreamInstance engine(int number) {
        return new UpstreamInstance(
                "engine-" + number,
                "words",
                "127.0.0.1",
                1,
                "a",
                8,
                false,
                OptionalLong.empty(),
                Map.of(),
                Set.of(),
                1,
                SoftwareVersion.UNSTATED);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Guards against requests that wait for the round-robin report of an engine whose models have just changed. */
    @Test
    void changedResidentsAreReportedToAllEntriesEarly() throws Exception {
        // Without periodic reports, only early ones are sent.
        TestEntry orderHolder = entries.get(ORDER_HOLDER_INDEX);
        onLoop(() -> {
            orderHolder.view.givesOrders(true);
            orderHolder.exchange.reportResidents("engine-7", Map.of("m", Set.of("a1")));
            return true;
        });
        for (TestEntry entry : entries.subList(1, ENTRY_COUNT)) {
            await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> enginesWithKnownResidents(entry) == 1));
        }
    }

    /** Guards against an entry that takes an older version in a restored store for the newest one. */
    @Test
    void versionInForceIsReported() throws Exception {
        DeploymentView newer = entries.get(0).view;
        DeploymentView older = entries.get(1).view;
        onLoop(() -> newer.applyDocument(document(7)));
        onLoop(() -> {
            older.beginRestore(false);
            older.applyDocument(document(6));
            older.confirmDocument(Timestamp.now());
            return older;
        });
        startAll();
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(older::confirmationAgeMillis) == Long.MAX_VALUE);
    }

    private static FleetDocument document(long version) throws DecodeException {
        String text = "{\"version\":" + version + ",\"limits\":{\"max-header-bytes\":1,\"max-body-bytes\":1,"
                + "\"header-timeout-ms\":1,\"idle-timeout-ms\":1}}";
        return FleetDocumentDecoder.decode(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against entries that send prompts to an engine together because they hear of each other's too late. */
    @Test
    void sentPromptIsReportedToAllEntriesAtOnce() throws Exception {
        TestEntry sender = entries.get(0);
        onLoop(() -> {
            InstanceState state = sender.view.instances().state("engine-7").orElseThrow();
            state.requestSent();
            state.prefillStarted(700);
            sender.exchange.reportLoad("engine-7");
            return true;
        });
        for (TestEntry entry : entries.subList(1, ENTRY_COUNT)) {
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> entry.view.instances().load("engine-7") == 1));
        }
    }

    /** Guards against loads that reach only some entries when there are more entries than reports per tick. */
    @Test
    void everyEntryReceivesLoadsOfAllOthers() {
        startAll();
        for (TestEntry entry : entries) {
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> entry.view.instances().load("engine-1") == ENTRY_COUNT));
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> entry.view.silentPeers().isEmpty()));
        }
    }

    /** Guards against demand that is sent to all entries, and against demand that does not reach the order holder. */
    @Test
    void demandIsReportedToOrderHolderOnly() throws Exception {
        startAll();
        TestEntry orderHolder = entries.get(ORDER_HOLDER_INDEX);
        onLoop(() -> {
            orderHolder.view.givesOrders(true);
            return true;
        });
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> demandingEntries(orderHolder) == ENTRY_COUNT));
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> demandingEntries(entries.get(1)) == 1));
    }

    private static int demandingEntries(TestEntry entry) {
        entry.demands.update(0);
        DemandTracker.Demand demand = entry.demands.demands().get(TARGET);
        return demand == null ? 0 : demand.current();
    }

    /** Guards against entries that never learn what an engine holds because their reports skip its part. */
    @Test
    void everyEntryReceivesResidentsOfAllEngines() throws Exception {
        startAll();
        TestEntry orderHolder = entries.get(ORDER_HOLDER_INDEX);
        onLoop(() -> {
            orderHolder.view.givesOrders(true);
            for (int engine = 0; engine < ENGINE_COUNT; engine++) {
                orderHolder.exchange.reportResidents("engine-" + engine, Map.of("m", Set.of("a1", "a2")));
            }
            return true;
        });
        for (TestEntry entry : entries.subList(1, ENTRY_COUNT)) {
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> enginesWithKnownResidents(entry) == ENGINE_COUNT));
        }
    }

    private static long enginesWithKnownResidents(TestEntry entry) {
        return entry.view.instances().states().stream()
                .filter(state -> state.models().containsKey("m"))
                .count();
    }

    /** Guards against counting the demand of a departed entry indefinitely. */
    @Test
    void demandOfDepartedEntryIsRemoved() throws Exception {
        startAll();
        TestEntry orderHolder = entries.get(ORDER_HOLDER_INDEX);
        onLoop(() -> {
            orderHolder.view.givesOrders(true);
            return true;
        });
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> demandingEntries(orderHolder) == ENTRY_COUNT));
        onLoop(() -> {
            addresses.clear();
            orderHolder.view.setPeers(Set.of());
            return true;
        });
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> demandingEntries(orderHolder) == 1));
    }
}
