package io.oleandermoor.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.residency.PlannedOrder;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
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
        loop.submit(() -> orders.send(load, new EngineOrders.Term("entry", 1), PROFILE, Moment.steadyNow()))
                .sync();
        await().atMost(Duration.ofSeconds(5))
                .untilAsserted(() -> assertThat(loop.submit(
                                        () -> orders.view(0, Moment.steadyNow()).incoming())
                                .get())
                        .isEmpty());
    }
}
