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

class EngineOrdersTest {

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

    /** Guards against a model that counts as coming for seconds after the order for it got no answer. */
    @Test
    void anOrderWithoutAnAnswerBringsNoModel() throws Exception {
        InstanceTable table = new InstanceTable("a", 1);
        UpstreamInstance engine = new UpstreamInstance(
                "e", "words", "127.0.0.1", closedPort(), "a", 8, false, OptionalLong.empty(), Map.of(), Set.of(), 1);
        table.put(engine, 0);
        EngineOrders orders = new EngineOrders(
                loop, new EngineClient(loop, TIMEOUT_MILLIS), table.state("e").orElseThrow(), models -> {});
        PlannedOrder load = new PlannedOrder("e", false, new ModelTarget("m", ""), true, "test", "m");
        loop.submit(() -> orders.send(load, new EngineOrders.Term("entry", 1), PROFILE, Timestamp.monotonicNowMillis()))
                .sync();
        await().atMost(Duration.ofSeconds(5))
                .untilAsserted(() -> assertThat(loop.submit(() -> orders.view(0, Timestamp.monotonicNowMillis())
                                        .incoming())
                                .get())
                        .isEmpty());
    }

    /** An engine that reports and leaves orders without an answer. */
    @Nested
    class LeavingOrdersUnanswered {

        private final AtomicInteger orderCalls = new AtomicInteger();
        private HttpServer engine;
        private InstanceState state;
        private EngineOrders orders;

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
            // The exchange is not closed, so no answer comes.
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
                            1),
                    0);
            state = table.state("e").orElseThrow();
            orders = new EngineOrders(loop, new EngineClient(loop, TIMEOUT_MILLIS), state, models -> {});
            loop.submit(() -> orders.refresh(state, Timestamp.monotonicNowMillis()))
                    .sync();
            awaitOrderable(true);
        }

        @AfterEach
        void stopEngine() {
            engine.stop(0);
        }

        private boolean orderable() throws Exception {
            return loop.submit(
                            () -> orders.view(0, Timestamp.monotonicNowMillis()).orderable())
                    .get();
        }

        private void awaitOrderable(boolean expected) {
            await().atMost(Duration.ofSeconds(5)).until(() -> orderable() == expected);
        }

        private void send(boolean unload, String adapter) throws Exception {
            PlannedOrder order = new PlannedOrder("e", unload, new ModelTarget("m", adapter), false, "test", "");
            int before = orderCalls.get();
            loop.submit(() -> orders.send(
                            order, new EngineOrders.Term("entry", 1), PROFILE, Timestamp.monotonicNowMillis()))
                    .sync();
            assertThat(orderable()).as("while the order waits for its answer").isFalse();
            await().atMost(Duration.ofSeconds(5)).until(() -> orderCalls.get() == before + 1);
        }

        /** Guards against an engine that gets no order for a second after each one whose answer was lost. */
        @Test
        void aLoadIsFollowedByTheNextOrderWithoutAReport() throws Exception {
            send(false, "a1");
            awaitOrderable(true);
            assertThat(loop.submit(orders::sequence).get()).isEqualTo(3);
        }

        /** Guards against orders that go on and on to an engine that is gone. */
        @Test
        void aSecondLoadIsFollowedByAReport() throws Exception {
            send(false, "a1");
            awaitOrderable(true);
            send(false, "a2");
            await().during(Duration.ofMillis(3 * TIMEOUT_MILLIS))
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> !orderable());
        }

        /** Guards against memory that is given away twice, as an unload counts as done when it is sent. */
        @Test
        void anUnloadIsFollowedByAReport() throws Exception {
            send(true, "");
            await().during(Duration.ofMillis(3 * TIMEOUT_MILLIS))
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> !orderable());
        }
    }
}
