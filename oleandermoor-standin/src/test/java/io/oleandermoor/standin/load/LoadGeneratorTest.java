package io.oleandermoor.standin.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.standin.engine.EngineSettings;
import io.oleandermoor.standin.engine.EngineStandIn;
import io.oleandermoor.standin.engine.EngineTokens;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a load tool that overlooks wrong answers or sends load elsewhere than to loopback. */
class LoadGeneratorTest {

    private static final int REQUESTS = 40;

    @Test
    void countsEveryCompleteAnswerOfAnEngine() throws Exception {
        Address address = freeAddress();
        EngineSettings settings = new EngineSettings(
                address.toString(),
                List.of("model-1"),
                1_000,
                Map.of(),
                new EngineSettings.Batch(64, 1, 512),
                true,
                "");
        try (EngineStandIn engine = new EngineStandIn(settings, () -> {})) {
            LoadResult result = new LoadGenerator(plan(address, 0.5)).run();
            assertThat(result.direct().sentCount()).isEqualTo(REQUESTS);
            assertThat(result.direct().completeCount()).isEqualTo(REQUESTS);
            assertThat(result.direct().errors()).isEmpty();
            assertThat(result.isCorrect()).isTrue();
        }
    }

    @Test
    void findsLostAndDoubledTokens() throws Exception {
        String tokens = EngineTokens.text("any", 3);
        assertThat(wrongAnswers("data: " + event(tokens) + "\n\ndata: [DONE]\n\n"))
                .isEqualTo(REQUESTS);
        assertThat(wrongAnswers("data: " + event("t1 ") + "\n\n")).isEqualTo(REQUESTS);
    }

    @Test
    void countsAStreamThatEndsEarlyAsAnError() throws Exception {
        Address address = freeAddress();
        try (HttpServer server = server(address, "data: " + event("") + "\n\n")) {
            LoadResult result = new LoadGenerator(plan(address, 1)).run();
            assertThat(result.direct().errors()).containsOnlyKeys("stream cut off");
            assertThat(result.direct().completeCount()).isZero();
        }
    }

    @Test
    void refusesAddressesOutsideLoopback() {
        assertThatThrownBy(() -> plan(Address.parse("192.0.2.1:80"), 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("loopback");
    }

    private static long wrongAnswers(String events) throws Exception {
        Address address = freeAddress();
        try (HttpServer server = server(address, events)) {
            return new LoadGenerator(plan(address, 1)).run().direct().wrongCount();
        }
    }

    private static HttpServer server(Address address, String events) throws IOException {
        return JoobyHttpServer.start(
                address.toSocketAddress(),
                1 << 16,
                exchange -> exchange.respond(new HttpResponse(
                        200,
                        Map.of(HttpResponse.CONTENT_TYPE, "text/event-stream"),
                        events.getBytes(java.nio.charset.StandardCharsets.UTF_8))));
    }

    private static String event(String text) {
        return "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}";
    }

    private static LoadPlan plan(Address address, double streams) {
        return new LoadPlan(
                List.of(),
                Optional.of(address),
                new LoadPlan.Arrivals(7, 1_000, REQUESTS, Duration.ofSeconds(30), REQUESTS),
                List.of("model-1"),
                List.of("key"),
                new LoadPlan.Mix(streams, 0, 5, 4));
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return Address.parse("127.0.0.1:" + socket.getLocalPort());
        }
    }
}
