package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpServer;
import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a complete entry while operators evacuate failure domains. */
class EvacuationTest {

    private static final String KEY = "key-1";
    private static final String EVACUATION = "op/evacuate/b";
    /** Within this time after the evacuation was stored, requests may still reach an instance. */
    private static final long BOUND_MILLIS = 5_000;
    /** Longer than the confirmation of a configuration is valid without the store. */
    private static final long OUT_OF_CONTACT_MILLIS = 5_000;

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    private static void pause(long millis) {
        await().pollDelay(Duration.ofMillis(millis)).until(() -> true);
    }

    private void awaitStatus(String path, int status) {
        await().atMost(Duration.ofSeconds(10)).until(() -> entry.call(path, KEY).statusCode() == status);
    }

    private void assertNothingMoreReaches(InstanceStandIn instance) throws Exception {
        int before = instance.receivedRequests().size();
        for (int request = 0; request < 20; request++) {
            entry.call(SAFE_PATH, KEY);
        }
        assertThat(instance.receivedRequests()).hasSize(before);
    }

    @Nested
    class UnderLoad {

        private final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        private volatile boolean calling = true;

        private void callUntilStopped() {
            try {
                while (calling) {
                    statuses.merge(entry.call(STREAM_PATH, KEY).statusCode(), 1, Integer::sum);
                }
            } catch (Exception exception) {
                statuses.merge(0, 1, Integer::sum);
            }
        }

        /** Guards against refusing callers of a model that is loaded elsewhere only once the evacuation has begun. */
        @Test
        void callersOfAModelThatOnlyTheDomainHoldsAreServedThroughout() throws Exception {
            InstanceStandIn leaving = entry.startInstance("i-1", "words", Behaviour.STREAM, "b");
            entry.awaitReady();
            awaitStatus(STREAM_PATH, 200);
            CompletableFuture<Void> callers = CompletableFuture.allOf(
                    CompletableFuture.runAsync(this::callUntilStopped),
                    CompletableFuture.runAsync(this::callUntilStopped));
            entry.store().put(EVACUATION, "{}");
            pause(600);
            InstanceStandIn staying = entry.startInstance("i-2", "words", Behaviour.STREAM);
            pause(BOUND_MILLIS - 600);
            int before = leaving.receivedRequests().size();
            pause(1_500);
            calling = false;
            callers.join();
            assertThat(statuses).containsOnlyKeys(200);
            assertThat(leaving.receivedRequests()).hasSize(before);
            assertThat(staying.receivedRequests()).isNotEmpty();
        }

        /** Guards against a model that is loaded elsewhere only after the last copy may no longer be used. */
        @Test
        void modelThatOnlyTheDomainHoldsIsOrderedElsewhere() throws Exception {
            List<String> orders = new CopyOnWriteArrayList<>();
            HttpServer engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            engine.createContext("/", exchange -> {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                boolean order = exchange.getRequestURI().getPath().equals("/api/order");
                if (order) {
                    orders.add(body);
                }
                byte[] report = "{\"models\":[],\"busy\":false,\"sequence\":0}".getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(order ? 202 : 200, report.length);
                exchange.getResponseBody().write(report);
                exchange.close();
            });
            engine.start();
            InstanceStandIn leaving = entry.startInstance("i-1", "words", Behaviour.STREAM, "b");
            entry.store()
                    .put(
                            "servers/i-2",
                            leaving.registration("words", "ready", "[]")
                                    .replaceFirst(
                                            "127.0.0.1:[0-9]+",
                                            "127.0.0.1:" + engine.getAddress().getPort()));
            entry.awaitReady();
            pause(4_000);
            int before = orders.size();
            entry.store().put(EVACUATION, "{}");
            await().atMost(Duration.ofMillis(BOUND_MILLIS)).until(() -> orders.size() > before);
            assertThat(orders.get(before)).contains("\"m\"");
            engine.stop(0);
        }
    }

    @Nested
    class OutOfContact {

        /** Guards against serving from the domain before the evacuation that was missed is known. */
        @Test
        void evacuationAppliesFromTheFirstServedRequestOnAndEndsOnlyInContact() throws Exception {
            InstanceStandIn leaving = entry.startInstance("i-1", "shop", Behaviour.ANSWER, "b");
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.store().setUnavailable(true);
            pause(OUT_OF_CONTACT_MILLIS);
            assertThat(entry.call(SAFE_PATH, KEY).statusCode()).isEqualTo(503);
            int before = leaving.receivedRequests().size();
            entry.store().put(EVACUATION, "{}");
            entry.store().setUnavailable(false);
            awaitStatus(SAFE_PATH, 200);
            assertNothingMoreReaches(leaving);
            entry.store().setUnavailable(true);
            pause(1_000);
            assertNothingMoreReaches(leaving);
            assertThat(leaving.receivedRequests()).hasSize(before);
            entry.store().remove(EVACUATION);
            entry.store().setUnavailable(false);
            await().atMost(Duration.ofSeconds(10)).until(() -> {
                entry.call(SAFE_PATH, KEY);
                return leaving.receivedRequests().size() > before;
            });
        }
    }

    @Nested
    class AllDomains {

        /** Guards against an entry that stops serving for good once nothing is left to send to. */
        @Test
        void requestsAreRefusedUntilADomainIsReadmitted() throws Exception {
            InstanceStandIn leaving = entry.startInstance("i-1", "shop", Behaviour.ANSWER, "b");
            entry.store().put(EVACUATION, "{}");
            entry.awaitReady();
            // The entry may have read the store just before, and then sends to the instance until its deadline.
            awaitStatus(SAFE_PATH, 503);
            assertThat(entry.isReady()).isTrue();
            assertNothingMoreReaches(leaving);
            entry.store().remove(EVACUATION);
            awaitStatus(SAFE_PATH, 200);
        }
    }
}
