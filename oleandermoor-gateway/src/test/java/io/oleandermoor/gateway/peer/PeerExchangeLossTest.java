package io.oleandermoor.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.awaitility.Awaitility.await;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.ReportKind;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.CallerLimits;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.state.share.SharedTokenBucket;
import io.oleandermoor.state.version.SoftwareVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests exchanges over loopback whose datagrams pass relays that count them and drop a share of them. */
class PeerExchangeLossTest {

    private static final int ENGINE_COUNT = 34;
    private static final int TEAM_COUNT = 16;
    private static final double LOSS = 0.3;
    /** Time in which a datagram that was sent over loopback has certainly been received. */
    private static final long DELIVERY_MILLIS = 200;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Random random = new Random(5);
    private final List<TestEntry> entries = new ArrayList<>();
    private double loss;

    /** Forwards the datagrams of one entry to another one. */
    private final class Relay extends SimpleChannelInboundHandler<DatagramPacket> {

        private final InetSocketAddress target;
        private final Map<ReportKind, Integer> forwarded = new EnumMap<>(ReportKind.class);
        private final Channel channel;

        private Relay(InetSocketAddress target) {
            this.target = target;
            this.channel = new Bootstrap()
                    .group(loop)
                    .channel(NioDatagramChannel.class)
                    .handler(this)
                    .bind(new InetSocketAddress("127.0.0.1", 0))
                    .syncUninterruptibly()
                    .channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) throws Exception {
            if (random.nextDouble() >= loss) {
                EntryReport report = EntryReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
                forwarded.merge(report.getKind(), 1, Integer::sum);
                context.writeAndFlush(new DatagramPacket(packet.content().retain(), target), context.voidPromise());
            }
        }

        private int count(ReportKind kind) {
            return forwarded.getOrDefault(kind, 0);
        }
    }

    private final class TestEntry {

        private final String name;
        private final DeploymentView view;
        private final PeerExchange exchange;
        private final GatewayMetrics metrics = new GatewayMetrics();
        private final Map<String, Relay> relays = new HashMap<>();
        private final InetSocketAddress address;

        private TestEntry(String name, String failureDomain) {
            this.name = name;
            view = new DeploymentView(name, new InstanceTable(failureDomain, 1));
            exchange = new PeerExchange(
                    loop,
                    view,
                    new DemandTracker(),
                    new QuarantineCoordinator(loop, metrics),
                    metrics,
                    this::peers,
                    Map::of);
            address = exchange.bind(new InetSocketAddress("127.0.0.1", 0));
        }

        private Map<String, InetSocketAddress> peers() {
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            relays.forEach((peer, relay) -> addresses.put(peer, (InetSocketAddress) relay.channel.localAddress()));
            return addresses;
        }

        private void prepare() {
            for (int index = 0; index < ENGINE_COUNT; index++) {
                view.instances().put(engine(index), 0);
            }
            List<TeamLimits> teams = new ArrayList<>();
            for (int index = 0; index < TEAM_COUNT; index++) {
                // Next to nothing accrues, so that the level is the sum of what all entries have granted.
                teams.add(new TeamLimits("team-" + index, List.of(), OptionalInt.empty(), 1e-6, 1e9, 1));
            }
            view.applyDocument(new FleetDocument(1, List.of(), List.of(), teams, new CallerLimits(1, 1, 1, 1)));
            view.setPeers(relays.keySet());
        }

        private void changeAtRandom() {
            String id = "engine-" + random.nextInt(ENGINE_COUNT);
            InstanceState state = view.instances().state(id).orElseThrow();
            if (random.nextBoolean()) {
                state.requestSent();
                state.prefillStarted(100);
            } else {
                state.requestEnded();
                state.prefillEnded(100);
            }
            exchange.reportLoad(id);
            // A negative refund charges tokens although the bucket is empty.
            view.bucket("team-" + random.nextInt(TEAM_COUNT)).orElseThrow().refund(-random.nextInt(100));
        }
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

    @BeforeEach
    void start() throws Exception {
        entries.add(new TestEntry("entry-0", "a"));
        entries.add(new TestEntry("entry-1", "a"));
        entries.add(new TestEntry("entry-2", "b"));
        for (TestEntry sender : entries) {
            for (TestEntry receiver : entries) {
                if (sender != receiver) {
                    sender.relays.put(receiver.name, new Relay(receiver.address));
                }
            }
        }
        for (TestEntry entry : entries) {
            onLoop(() -> {
                entry.prepare();
                return true;
            });
            entry.exchange.startReports();
        }
        for (TestEntry entry : entries) {
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> onLoop(() -> entry.view.silentPeers().isEmpty()));
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private int forwarded(Relay relay, ReportKind kind) throws Exception {
        return onLoop(() -> relay.count(kind));
    }

    /** Guards against loads and grants that stay wrong after lost datagrams while everything changes quickly. */
    @Test
    void entriesAgreeAfterTheNextFullReport() throws Exception {
        onLoop(() -> {
            loss = LOSS;
            return true;
        });
        ScheduledFuture<?> changes =
                loop.scheduleAtFixedRate(() -> entries.forEach(TestEntry::changeAtRandom), 0, 2, TimeUnit.MILLISECONDS);
        Thread.sleep(4_000);
        onLoop(() -> {
            // From here on, the next full report has to repair what was lost.
            loss = 0;
            return changes.cancel(false);
        });
        Thread.sleep(DELIVERY_MILLIS);
        Map<Relay, Integer> fullReports = new HashMap<>();
        for (TestEntry entry : entries) {
            for (Relay relay : entry.relays.values()) {
                fullReports.put(relay, forwarded(relay, ReportKind.REPORT_KIND_FULL));
            }
        }
        for (Relay relay : fullReports.keySet()) {
            await().atMost(Duration.ofSeconds(20))
                    .until(() -> forwarded(relay, ReportKind.REPORT_KIND_FULL) > fullReports.get(relay));
        }
        loop.schedule(this::assertAgreement, DELIVERY_MILLIS, TimeUnit.MILLISECONDS)
                .get();
    }

    private void assertAgreement() {
        for (TestEntry entry : entries) {
            assertThat(entry.view.silentPeers()).isEmpty();
            for (int index = 0; index < ENGINE_COUNT; index++) {
                String id = "engine-" + index;
                int sum = entries.stream()
                        .mapToInt(each ->
                                each.view.instances().state(id).orElseThrow().localLoad())
                        .sum();
                assertThat(entry.view.instances().load(id))
                        .as(entry.name + " " + id)
                        .isEqualTo(sum);
            }
            entry.view
                    .buckets()
                    .forEach((team, bucket) -> assertThat(bucket.level())
                            .as(entry.name + " " + team)
                            .isCloseTo(-granted(team), within(0.01)));
        }
    }

    private double granted(String team) {
        return entries.stream()
                .mapToLong(entry -> entry.view
                        .bucket(team)
                        .map(SharedTokenBucket::grantedTokens)
                        .orElse(0L))
                .sum();
    }

    /** Guards against a datagram to other failure domains for each change, and against changes that come late. */
    @Test
    void changesAreGatheredForOtherFailureDomains() throws Exception {
        TestEntry sender = entries.get(0);
        Relay near = sender.relays.get("entry-1");
        Relay far = sender.relays.get("entry-2");
        // One change in each turn of the event loop, all within the time for which changes are gathered.
        for (int change = 0; change < 10; change++) {
            onLoop(() -> {
                sender.view.instances().state("engine-3").orElseThrow().requestSent();
                sender.exchange.reportLoad("engine-3");
                return true;
            });
        }
        await().atMost(Duration.ofSeconds(20))
                .until(() -> onLoop(() -> entries.get(2).view.instances().load("engine-3") == 10));
        await().atMost(Duration.ofSeconds(20)).until(() -> forwarded(near, ReportKind.REPORT_KIND_LOADS) == 10);
        assertThat(forwarded(far, ReportKind.REPORT_KIND_LOADS)).isLessThan(10);
        String text = new String(sender.metrics.text(), StandardCharsets.UTF_8);
        assertThat(text).contains("oleandermoor_peer_datagrams_total{kind=\"loads\"}");
        assertThat(text).contains("oleandermoor_peer_bytes_total{kind=\"full\"}");
    }
}
