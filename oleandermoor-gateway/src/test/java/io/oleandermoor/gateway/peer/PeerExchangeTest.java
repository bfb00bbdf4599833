package io.oleandermoor.gateway.peer;

import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.residency.DemandBoard;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
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

/** Several entries that exchange reports over the loopback, on one event loop. */
class PeerExchangeTest {

    private static final int ENTRIES = 40;
    private static final int ENGINES = 80;
    private static final ModelTarget TARGET = ModelTarget.parse("m");
    private static final int GIVER = 0;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();

    private final class Entry {

        private final DeploymentView view;
        private final DemandBoard demands = new DemandBoard();
        private final PeerExchange exchange;

        private Entry(String name) {
            view = new DeploymentView(name, new InstanceTable("a", 1));
            exchange = new PeerExchange(
                    loop, view, demands, () -> others(name), () -> Map.of(TARGET, new DemandBoard.Wanted(1, 0)));
        }
    }

    private Map<String, InetSocketAddress> others(String name) {
        Map<String, InetSocketAddress> others = new HashMap<>(addresses);
        others.remove(name);
        return others;
    }

    @BeforeEach
    void start() throws Exception {
        for (int index = 0; index < ENTRIES; index++) {
            try (DatagramSocket socket = new DatagramSocket()) {
                addresses.put("entry-" + index, new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
            }
            entries.add(new Entry("entry-" + index));
        }
        for (Entry entry : entries) {
            loop.submit(() -> prepare(entry)).sync();
        }
    }

    private void startAll() {
        entries.forEach(entry -> entry.exchange.start(addresses.get(entry.view.entry())));
    }

    private void prepare(Entry entry) {
        for (int engine = 0; engine < ENGINES; engine++) {
            entry.view.instances().put(engine(engine), 0);
        }
        entry.view.setPeers(others(entry.view.entry()).keySet());
        entry.view.instances().state("engine-1").orElseThrow().sent();
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
                1);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Guards against requests that wait until it is an engine's turn, though what it holds has just changed. */
    @Test
    void aChangeIsToldToAllEntriesBeforeItsTurn() throws Exception {
        // No entry reports in turn.
        entries.forEach(entry -> entry.exchange.bind(addresses.get(entry.view.entry())));
        Entry giver = entries.get(GIVER);
        onLoop(() -> {
            giver.view.givesOrders(true);
            giver.exchange.tellResidents("engine-7", Map.of("m", Set.of("a1")));
            return true;
        });
        for (Entry entry : entries.subList(1, ENTRIES)) {
            await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> knownEngines(entry) == 1));
        }
    }

    /** Guards against loads that only some entries hear of where there are too many to tell all of them at once. */
    @Test
    void everyEntryHearsTheLoadsOfAllOthers() {
        startAll();
        for (Entry entry : entries) {
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> entry.view.instances().load("engine-1") == ENTRIES));
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> entry.view.silentPeers().isEmpty()));
        }
    }

    /** Guards against demand that goes to everybody, and against demand that the giver of orders does not hear of. */
    @Test
    void demandReachesTheGiverOfOrders() throws Exception {
        startAll();
        Entry giver = entries.get(GIVER);
        onLoop(() -> {
            giver.view.givesOrders(true);
            return true;
        });
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> present(giver) == ENTRIES));
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> present(entries.get(1)) == 1));
    }

    private static int present(Entry entry) {
        entry.demands.update(0);
        DemandBoard.Demand demand = entry.demands.demands().get(TARGET);
        return demand == null ? 0 : demand.present();
    }

    /**
     * Guards against entries that never learn what an engine holds because it is not in the part that they are told.
     */
    @Test
    void everyEntryHearsWhatAllEnginesHold() throws Exception {
        startAll();
        Entry giver = entries.get(GIVER);
        onLoop(() -> {
            giver.view.givesOrders(true);
            for (int engine = 0; engine < ENGINES; engine++) {
                giver.exchange.tellResidents("engine-" + engine, Map.of("m", Set.of("a1", "a2")));
            }
            return true;
        });
        for (Entry entry : entries.subList(1, ENTRIES)) {
            await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> knownEngines(entry) == ENGINES));
        }
    }

    private static long knownEngines(Entry entry) {
        return entry.view.instances().all().stream()
                .filter(state -> state.models().containsKey("m"))
                .count();
    }

    /** Guards against the demand of an entry that has left and counts for ever. */
    @Test
    void theDemandOfAnEntryThatHasLeftIsForgotten() throws Exception {
        startAll();
        Entry giver = entries.get(GIVER);
        onLoop(() -> {
            giver.view.givesOrders(true);
            return true;
        });
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> present(giver) == ENTRIES));
        onLoop(() -> {
            addresses.clear();
            giver.view.setPeers(Set.of());
            return true;
        });
        await().atMost(Duration.ofSeconds(20)).until(() -> onLoop(() -> present(giver) == 1));
    }
}
