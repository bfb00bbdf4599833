package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A whole entry between broken or hostile instances and callers. */
class MisbehavingPeersTest {

    private static final List<String> ALL_EVENTS = List.of("id: 1", "id: 2", "id: 3", "id: 4", "id: 5");

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    /** Waits until the entry knows the instances that were registered after it was ready. */
    private static void awaitInstances() {
        await().pollDelay(Duration.ofMillis(900)).until(() -> true);
    }

    private byte[] request(String path, String id) {
        return ("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id
                        + "\r\nModel: m\r\nAuthorization: Token key-1\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Nested
    class MisbehavingInstance {

        /** Guards against a request that is held, and memory that is filled, by bytes that are no answer. */
        @ParameterizedTest
        @EnumSource(
                value = Behaviour.class,
                names = {"ENDLESS_INTERIM", "ENDLESS_HEAD", "ENDLESS_FOREIGN", "ENDLESS_BODY"})
        void endlessResponseIsAbandonedForAnotherInstance(Behaviour endless) throws Exception {
            InstanceStandIn hostile = entry.startInstance("i-1", "shop", endless);
            entry.awaitReady();
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            awaitInstances();
            for (int request = 0; request < 4; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-2");
            }
            long soFar = hostile.writtenBytes();
            await().pollDelay(Duration.ofMillis(300)).until(() -> true);
            assertThat(hostile.writtenBytes()).as("the connection is closed").isEqualTo(soFar);
        }

        /** Guards against a stream that its instance keeps alive by a byte now and then, without an event. */
        @Test
        void streamWithoutNewEventsResumesOnAnotherInstance() throws Exception {
            entry.startInstance("i-1", "words", Behaviour.DRIBBLE_STREAM);
            entry.awaitReady();
            entry.startInstance("i-2", "words", Behaviour.STREAM);
            awaitInstances();
            for (int request = 0; request < 3; request++) {
                assertThat(events(entry.call(STREAM_PATH, "key-1").body())).isEqualTo(ALL_EVENTS);
            }
        }

        /** Guards against a slow but sound stream that is cut though nobody else can go on with it. */
        @Test
        void slowStreamContinuesWhenNoOtherInstanceIsAvailable() throws Exception {
            entry.startInstance("i-1", "words", Behaviour.PAUSE_STREAM);
            entry.awaitReady();
            assertThat(events(entry.call(STREAM_PATH, "key-1").body())).isEqualTo(ALL_EVENTS);
        }

        /**
         * Guards against a refusal that promises "not run": a second copy of an earlier answer to the same request came
         * on the connection on which it was sent again, and was run.
         */
        @Test
        void duplicateRefusalIsNotTakenAsResponseToRetry() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.MISDIRECT_TWICE);
            entry.awaitReady();
            assertThat(entry.call(UNSAFE_PATH, "key-1").statusCode()).isEqualTo(504);
            assertThat(shop.receivedRequests()).hasSize(2);
        }

        private List<String> events(String body) {
            return body.lines().filter(line -> line.startsWith("id: ")).toList();
        }
    }

    @Nested
    class MisbehavingCaller {

        /** Send buffers of both connections, which the operating system may let grow, and some more. */
        private static final long MAXIMUM_BUFFERED_BYTES = 32L << 20;

        /** Guards against a caller that stops reading and lets its answer fill the memory of the entry. */
        @Test
        void callerThatStopsReadingPausesInstance() throws Exception {
            InstanceStandIn words = entry.startInstance("i-1", "words", Behaviour.FLOOD_STREAM);
            entry.awaitReady();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(64 << 10);
                socket.connect(new InetSocketAddress("127.0.0.1", entry.callerPort()));
                socket.getOutputStream().write(request(STREAM_PATH, "c-1"));
                await().atMost(Duration.ofSeconds(10)).until(() -> words.writtenBytes() > 0);
                await().pollDelay(Duration.ofMillis(2_000)).until(() -> true);
                assertThat(words.writtenBytes()).isLessThan(MAXIMUM_BUFFERED_BYTES);
                long before = words.writtenBytes();
                byte[] part = socket.getInputStream().readNBytes(1 << 20);
                assertThat(part).hasSize(1 << 20);
                // Reading on lets the instance go on.
                drain(socket, before);
                await().atMost(Duration.ofSeconds(10)).until(() -> words.writtenBytes() > before);
            }
        }

        private void drain(Socket socket, long bytes) throws IOException {
            socket.getInputStream().skipNBytes(bytes / 2);
        }

        /** Guards against a request that is cut off half received because nothing else was running at the stop. */
        @Test
        void partiallyReceivedRequestIsAnsweredOnShutdown() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            byte[] whole = request(SAFE_PATH, "c-2");
            try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
                socket.getOutputStream().write(whole, 0, whole.length / 2);
                await().pollDelay(Duration.ofMillis(300)).until(() -> true);
                Thread stopping = new Thread(entry.gateway()::stop);
                stopping.start();
                await().pollDelay(Duration.ofMillis(3_500)).until(() -> true);
                socket.getOutputStream().write(whole, whole.length / 2, whole.length - whole.length / 2);
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertThat(answer).startsWith("HTTP/1.1 200").endsWith("done by i-1");
                stopping.join();
            }
        }
    }
}
