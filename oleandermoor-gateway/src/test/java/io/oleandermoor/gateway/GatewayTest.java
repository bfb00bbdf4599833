package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a complete entry with real callers and stand-ins for the store and the instances. */
class GatewayTest {

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    @Nested
    class RequestRouting {

        @Test
        void forwardsRequestWithTeamOfApiKey() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + entry.callerPort() + SAFE_PATH + "?a=1"))
                    .header("Request-Id", "mine")
                    .header("Authorization", "Token key-1")
                    .header("Tenant", "forged")
                    .POST(HttpRequest.BodyPublishers.ofString("question"))
                    .build();
            HttpResponse<String> response = entry.client().send(request, HttpResponse.BodyHandlers.ofString());
            assertThat(response.body()).isEqualTo("done by i-1");
            Map<String, String> forwarded =
                    shop.receivedRequests().get(shop.receivedRequests().size() - 1);
            assertThat(forwarded).containsEntry("line", "POST " + SAFE_PATH + "?a=1 HTTP/1.1");
            assertThat(forwarded).containsEntry("tenant", "team-1").containsEntry("body", "question");
            assertThat(forwarded).containsEntry("target-instance", "i-1").doesNotContainKey("authorization");
        }

        @Test
        void answers401ForUnknownKeyAnd404ForUnknownRoute() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            assertThat(entry.call(SAFE_PATH, "key-2").statusCode()).isEqualTo(401);
            assertThat(entry.call("/nowhere/x", "key-1").statusCode()).isEqualTo(404);
        }

        /**
         * Guards against a revoked key that is still accepted, and against an older configuration replacing a newer
         * one.
         */
        @Test
        void appliesNewerConfigurationAndIgnoresOlderOne() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.configure(9, "\"key-2\"");
            await().atMost(Duration.ofSeconds(5))
                    .until(() -> entry.call(SAFE_PATH, "key-2").statusCode() == 200);
            entry.configure(5, "\"key-1\"");
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(401);
        }

        @Test
        void isNotReadyAndAnswers503WithoutConfiguration() throws Exception {
            assertThat(entry.isReady()).isFalse();
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(503);
        }

        /**
         * Guards against accepting a revoked key while the store, which would report the revocation, is unreachable.
         */
        @Test
        void answers503WhileKeysCannotBeConfirmed() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.store().setUnavailable(true);
            await().atMost(Duration.ofSeconds(6))
                    .until(() -> entry.call(SAFE_PATH, "key-1").statusCode() == 503);
            entry.store().setUnavailable(false);
            await().atMost(Duration.ofSeconds(6))
                    .until(() -> entry.call(SAFE_PATH, "key-1").statusCode() == 200);
        }
    }

    @Nested
    class InstanceFailure {

        /** Guards against a refusal that states "not executed" for a request that an instance has received. */
        @Test
        void silentInstanceLeadsTo504() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.SILENT);
            entry.awaitReady();
            assertThat(entry.call(UNSAFE_PATH, "key-1").statusCode()).isEqualTo(504);
            assertThat(shop.receivedRequests()).hasSize(1);
        }

        @Test
        void unsafeRequestIsNotRetriedAfterConnectionReset() throws Exception {
            InstanceStandIn first = entry.startInstance("i-1", "shop", Behaviour.RESET);
            InstanceStandIn second = entry.startInstance("i-2", "shop", Behaviour.RESET);
            entry.awaitReady();
            assertThat(entry.call(UNSAFE_PATH, "key-1").statusCode()).isEqualTo(502);
            assertThat(first.receivedRequests().size()
                            + second.receivedRequests().size())
                    .isEqualTo(1);
        }

        @Test
        void safeRequestIsRetriedOnAnotherInstanceAfterConnectionReset() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.RESET);
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            for (int request = 0; request < 6; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-2");
            }
        }

        @Test
        void requestDeclinedByEveryInstanceIsRefusedWithRetryAfter() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.DECLINE);
            entry.awaitReady();
            HttpResponse<String> response = entry.call(UNSAFE_PATH, "key-1");
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
        }

        /** Guards against passing an extra response of an instance to the next request on the same connection. */
        @Test
        void extraResponseIsDiscarded() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.EXTRA);
            entry.awaitReady();
            for (int request = 0; request < 5; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-1");
            }
        }

        @Test
        void interruptedStreamResumesOnAnotherInstanceWithEachEventOnce() throws Exception {
            entry.startInstance("i-1", "words", Behaviour.TEAR_STREAM);
            entry.awaitReady();
            entry.startInstance("i-2", "words", Behaviour.STREAM);
            await().pollDelay(Duration.ofMillis(800)).until(() -> true);
            for (int request = 0; request < 4; request++) {
                String body = entry.call(STREAM_PATH, "key-1").body();
                assertThat(body.lines().filter(line -> line.startsWith("id: ")))
                        .containsExactly("id: 1", "id: 2", "id: 3", "id: 4", "id: 5");
            }
        }

        /** Guards against a caller that waits for an instance that lost power without closing its connection. */
        @Test
        void stalledStreamResumesOnAnotherInstance() throws Exception {
            entry.startInstance("i-1", "words", Behaviour.STALL_STREAM);
            entry.startInstance("i-2", "words", Behaviour.STREAM);
            entry.awaitReady();
            await().pollDelay(Duration.ofMillis(800)).until(() -> true);
            for (int request = 0; request < 4; request++) {
                String body = entry.call(STREAM_PATH, "key-1").body();
                assertThat(body.lines().filter(line -> line.startsWith("id: ")))
                        .containsExactly("id: 1", "id: 2", "id: 3", "id: 4", "id: 5");
            }
        }

        /** Guards against request smuggling: the entry and an instance would find different ends of this request. */
        @Test
        void requestWithAmbiguousFramingIsRejected() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
                socket.getOutputStream()
                        .write(("POST " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: s1\r\n"
                                        + "Authorization: Token key-1\r\nContent-Length: 4\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] statusLine = socket.getInputStream().readNBytes(12);
                assertThat(new String(statusLine, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 400");
            }
            assertThat(shop.receivedRequests()).isEmpty();
        }

        /** Guards against an instance that runs a request whose body was cut where it could not be decoded. */
        @Test
        void requestWithMalformedBodyIsRejected() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
                socket.getOutputStream()
                        .write(("POST " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: s1\r\n"
                                        + "Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + "5\r\nhello\r\nZZ\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] statusLine = socket.getInputStream().readNBytes(12);
                assertThat(new String(statusLine, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 400");
            }
            assertThat(shop.receivedRequests()).isEmpty();
        }
    }

    @Nested
    class Draining {

        /**
         * Guards against a stopping entry that accepts another request on a keep-alive connection and cannot complete
         * it.
         */
        @Test
        void keepAliveConnectionClosesAfterInFlightResponseOnShutdown() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.SLOW);
            entry.awaitReady();
            try (Socket first = new Socket("127.0.0.1", entry.callerPort());
                    Socket second = new Socket("127.0.0.1", entry.callerPort())) {
                first.setSoTimeout(10_000);
                first.getOutputStream().write(keepAliveRequest("k1"));
                await().pollDelay(Duration.ofMillis(1_500)).until(() -> true);
                second.getOutputStream().write(keepAliveRequest("k2"));
                await().pollDelay(Duration.ofMillis(300)).until(() -> true);
                Thread stopping = new Thread(entry.gateway()::stop);
                stopping.start();
                String response = new String(first.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertThat(response).startsWith("HTTP/1.1 200").endsWith("done by i-1");
                assertThat(stopping.isAlive())
                        .as("the second request is still in flight")
                        .isTrue();
                stopping.join();
            }
        }

        private byte[] keepAliveRequest(String id) {
            return ("GET " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id
                            + "\r\nAuthorization: Token key-1\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
        }

        @Test
        void drainingInstanceReceivesNoNewRequests() throws Exception {
            InstanceStandIn draining = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            InstanceStandIn ready = entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.store().put("servers/i-1", draining.registration("shop", "draining", "[]"));
            await().pollDelay(Duration.ofMillis(900)).until(() -> true);
            int receivedBefore = draining.receivedRequests().size();
            for (int request = 0; request < 10; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-2");
            }
            assertThat(draining.receivedRequests()).hasSize(receivedBefore);
            assertThat(ready.receivedRequests()).hasSizeGreaterThanOrEqualTo(10);
        }
    }

    @Nested
    class ConnectionReuse {

        /**
         * Guards against opening a connection for each stream because a stream lasts longer than an instance keeps an
         * idle connection.
         */
        @Test
        void connectionOfALongStreamIsUsedAgain() throws Exception {
            InstanceStandIn words = entry.startInstance("i-1", "words", Behaviour.PAUSE_STREAM);
            entry.awaitReady();
            assertThat(entry.call(STREAM_PATH, "key-1").statusCode()).isEqualTo(200);
            assertThat(entry.call(STREAM_PATH, "key-1").statusCode()).isEqualTo(200);
            assertThat(words.receivedRequests())
                    .hasSize(2)
                    .extracting(request -> request.get("connection"))
                    .containsOnly(words.receivedRequests().get(0).get("connection"));
        }
    }
}
