package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a complete entry while the operators change the configuration. */
class ConfigurationChangesTest {

    private static final String OLD_KEY = "key-1";
    private static final String NEW_KEY = "key-2";
    /** Within this time a revoked key must be refused, and an entry must be ready after its start. */
    private static final Duration REVOCATION = Duration.ofSeconds(5);

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
        entry.startInstance("i-1", "shop", Behaviour.ANSWER);
        entry.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    private void awaitStatus(EntryFixture caller, String key, int status) {
        await().atMost(REVOCATION)
                .untilAsserted(() ->
                        assertThat(caller.call(SAFE_PATH, key).statusCode()).isEqualTo(status));
    }

    @Nested
    class WhenBoundExceedsAnInteger {

        private static final long MAXIMUM_BODY_BYTES = 1L << 32;

        /** Guards against a revoked key that stays in use, because the version that revokes it cannot be applied. */
        @Test
        void versionThatRevokesKeyIsInForce() throws Exception {
            entry.configure(7, "\"" + NEW_KEY + "\"", MAXIMUM_BODY_BYTES);
            awaitStatus(entry, OLD_KEY, 401);
            assertThat(entry.call(SAFE_PATH, NEW_KEY).statusCode()).isEqualTo(200);
            assertThat(entry.isReady()).isTrue();
        }

        /** Guards against an entry that never becomes ready after a restart. */
        @Test
        void entryThatStartsLaterIsReadyAndServes() throws Exception {
            entry.configure(7, "\"" + NEW_KEY + "\"", MAXIMUM_BODY_BYTES);
            try (EntryFixture started = entry.startPeer("entry-2")) {
                awaitStatus(started, NEW_KEY, 200);
                assertThat(started.call(SAFE_PATH, OLD_KEY).statusCode()).isEqualTo(401);
            }
        }
    }

    @Nested
    class WhenLimitOnBodiesChanges {

        private static final int LARGE_BODY_BYTES = 100 << 10;

        private String post(Socket socket, int bodyBytes) throws IOException {
            String head = "POST " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: c-" + bodyBytes
                    + "\r\nAuthorization: Token " + OLD_KEY + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
            socket.getOutputStream().write((head + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII));
            byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            socket.getInputStream().skipNBytes(socket.getInputStream().available());
            return new String(status, StandardCharsets.US_ASCII);
        }

        /** Guards against a limit of an older version that stays in force for connections that are kept open. */
        @Test
        void newLimitAppliesToOpenConnection() throws Exception {
            try (Socket raised = new Socket("127.0.0.1", entry.callerPort());
                    Socket lowered = new Socket("127.0.0.1", entry.callerPort())) {
                assertThat(post(raised, 1)).endsWith("200");
                assertThat(post(lowered, 1)).endsWith("200");
                entry.configure(7, "\"" + OLD_KEY + "\"", 2 * LARGE_BODY_BYTES);
                awaitPolls();
                assertThat(post(raised, LARGE_BODY_BYTES)).endsWith("200");
                entry.configure(8, "\"" + OLD_KEY + "\"", 10);
                awaitPolls();
                assertThat(post(lowered, 11)).endsWith("413");
            }
        }

        private void awaitPolls() {
            await().pollDelay(Duration.ofMillis(500)).until(() -> true);
        }
    }

    @Nested
    class WhenNewestVersionIsUnreadable {

        /** Guards against a revoked key that stays in use, because the version before is confirmed as the newest. */
        @Test
        void noKeyIsAcceptedUntilReadableVersionArrives() throws Exception {
            entry.store().put("op/config", "{\"version\":7,\"routes\":5}");
            awaitStatus(entry, OLD_KEY, 503);
            assertThat(entry.isReady()).isFalse();
            entry.configure(8, "\"" + NEW_KEY + "\"");
            awaitStatus(entry, NEW_KEY, 200);
            assertThat(entry.call(SAFE_PATH, OLD_KEY).statusCode()).isEqualTo(401);
        }
    }
}
