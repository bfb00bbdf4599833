package io.oleandermoor.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.residency.PlannedOrder;
import io.oleandermoor.state.version.SoftwareVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineOrderSenderTest {

    private static final EngineProfile PROFILE = new EngineProfile(8, 1_000, 1_000, 2, 1, Map.of());
    private static final long TIMEOUT_MILLIS = 200;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Guards against expecting a model for seconds after the order to load it remained unanswered. */
    @Test
    void clearsIncomingModelWhenOrderIsUnanswered() throws Exception {
        InstanceTable table = new InstanceTable("a", 1);
        UpstreamInstance engine = new UpstreamInstance(
                "e",
                "words",
                "127.0.0.1",
                closedPort(),
                "a",
                8,
                false,
                OptionalLong.empty(),
                Map.of(),
                Set.of(),
                1,
                SoftwareVersion.UNSTATED);
        table.put(engine, 0);
        EngineOrderSender sender = new EngineOrderSender(
                loop,
                new EngineClient(loop, TIMEOUT_MILLIS, (instance, notice) -> {}),
                table.state("e").orElseThrow(),
                models -> {});
        PlannedOrder load = new PlannedOrder("e", false, new ModelTarget("m", ""), true, "test", "m");
        loop.submit(() -> sender.send(
                        load,
                        new EngineOrderSender.LeaseHolder("entry", 1, () -> true),
                        PROFILE,
                        Timestamp.monotonicNowMillis()))
                .sync();
        await().atMost(Duration.ofSeconds(5))
                .untilAsserted(() -> assertThat(loop.submit(() -> sender.view(0, Timestamp.monotonicNowMillis())
                                        .incomingModel())
                                .get())
                        .isEmpty());
    }

    /** The engine answers report requests but not orders. */
    @Nested
    class WhenEngineLeavesOrdersUnanswered {

        private final AtomicInteger orderCalls = new AtomicInteger();
        private HttpServer engine;
        private InstanceState state;
        private EngineOrderSender sender;

        @BeforeEach
        void start() throws Exception {
            engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            engine.createContext("/api/report", exchange -> {
                byte[] report = "{\"phase\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                        .concat("\"busy\":false,\"sequence\":3}")
                        .getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(200, report.length);
                exchange.getResponseBody().write(report);
                exchange.close();
            });
            // The exchange is not closed, so no answer is sent.
            engine.createContext("/api/order", exchange -> orderCalls.incrementAndGet());
            engine.start();
            InstanceTable table = new InstanceTable("a", 1);
            table.put(
                    new UpstreamInstance(
                            "e",
                            "words",
                            "127.0.0.1",
                            engine.getAddress().getPort(),
                            "a",
                            8,
                            false,
                            OptionalLong.empty(),
                            Map.of("m", Set.of()),
                            Set.of(),
                            1,
                            SoftwareVersion.UNSTATED),
                    0);
            state = table.state("e").orElseThrow();
            sender = new EngineOrderSender(
                    loop, new EngineClient(loop, TIMEOUT_MILLIS, (instance, notice) -> {}), state, models -> {});
            loop.submit(() -> sender.refresh(state, Timestamp.monotonicNowMillis()))
                    .sync();
            awaitReadyForOrder(true);
        }

        @AfterEach
        void stopEngine() {
            engine.stop(0);
        }

        private boolean readyForOrder() throws Exception {
            return loop.submit(
                            () -> sender.view(0, Timestamp.monotonicNowMillis()).readyForOrder())
                    .get();
        }

        private void awaitReadyForOrder(boolean expected) {
            await().atMost(Duration.ofSeconds(5)).until(() -> readyForOrder() == expected);
        }

        private void send(boolean unload, String adapter) throws Exception {
            PlannedOrder order = new PlannedOrder("e", unload, new ModelTarget("m", adapter), false, "test", "");
            int before = orderCalls.get();
            loop.submit(() -> sender.send(
                            order,
                            new EngineOrderSender.LeaseHolder("entry", 1, () -> true),
                            PROFILE,
                            Timestamp.monotonicNowMillis()))
                    .sync();
            assertThat(readyForOrder())
                    .as("while the order waits for its answer")
                    .isFalse();
            await().atMost(Duration.ofSeconds(5)).until(() -> orderCalls.get() == before + 1);
        }

        /** Guards against delaying further orders to an engine by a second whenever an answer is lost. */
        @Test
        void acceptsNextOrderWithoutReportAfterOneLoad() throws Exception {
            send(false, "a1");
            awaitReadyForOrder(true);
            assertThat(loop.submit(sender::sequence).get()).isEqualTo(3);
        }

        /** Guards against sending orders indefinitely to an engine that no longer exists. */
        @Test
        void requiresReportAfterSecondLoad() throws Exception {
            send(false, "a1");
            awaitReadyForOrder(true);
            send(false, "a2");
            await().during(Duration.ofMillis(3 * TIMEOUT_MILLIS))
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> !readyForOrder());
        }

        /** Guards against allocating memory twice, as an unload counts as done when it is sent. */
        @Test
        void requiresReportAfterUnload() throws Exception {
            send(true, "");
            await().during(Duration.ofMillis(3 * TIMEOUT_MILLIS))
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> !readyForOrder());
        }
    }
}
