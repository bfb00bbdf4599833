package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a complete entry with instances and callers that are faulty or malicious. */
class MisbehavingPeersTest {

    private static final List<String> ALL_EVENTS = List.of("id: 1", "id: 2", "id: 3", "id: 4", "id: 5");
    private static final int MANY_STREAMS = 150;
    /** Distance of the positions at which an answer breaks off; UpstreamPoolTest covers all of them. */
    private static final int PARTIAL_STEP_BYTES = 23;
    /** Twice the bound on incomplete events, since buffers grow by doubling, and some for what is on its way. */
    private static final long MAXIMUM_BUFFER_BYTES = (2 * 16 + 4) << 20;

    private final ExecutorService callers = Executors.newCachedThreadPool();

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        entry.close();
    }

    /** Waits until the entry has read the instances that were registered after it was ready. */
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

        /**
         * Guards against a request that never completes, and memory that fills, because an instance sends endless data.
         */
        @ParameterizedTest
        @EnumSource(
                value = Behaviour.class,
                names = {"ENDLESS_INTERIM", "ENDLESS_HEAD", "ENDLESS_FOREIGN", "ENDLESS_BODY", "ENDLESS_BLANK"})
        void endlessResponseIsAbandonedForAnotherInstance(Behaviour behaviour) throws Exception {
            InstanceStandIn faulty = entry.startInstance("i-1", "shop", behaviour);
            entry.awaitReady();
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            awaitInstances();
            for (int request = 0; request < 4; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-2");
            }
            long writtenBefore = faulty.writtenBytes();
            await().pollDelay(Duration.ofMillis(300)).until(() -> true);
            assertThat(faulty.writtenBytes())
                    .as("total bytes written once the connection is closed")
                    .isEqualTo(writtenBefore);
        }

        /**
         * Guards against a process that runs out of memory, and loses the requests of all callers, because it keeps the
         * incomplete events of a faulty instance.
         */
        @ParameterizedTest
        @ValueSource(ints = {200 << 10, 1_000 << 10})
        void incompleteEventsOfManyStreamsAreBoundedTogether(int eventBytes) throws Exception {
            InstanceStandIn faulty = entry.startInstance("i-1", "words", Behaviour.PARTIAL_EVENT);
            faulty.setPartialBytes(eventBytes);
            entry.store().put("servers/i-1", manySlots(faulty.registration("words", "ready", EntryFixture.MODELS)));
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            awaitInstances();
            long usedBefore = usedBufferBytes();
            List<CompletableFuture<?>> calls = new ArrayList<>();
            for (int request = 0; request < MANY_STREAMS; request++) {
                calls.add(CompletableFuture.supplyAsync(() -> callQuietly(STREAM_PATH), callers));
            }
            long maximumUsed = 0;
            while (calls.stream().anyMatch(call -> !call.isDone())) {
                maximumUsed = Math.max(maximumUsed, usedBufferBytes() - usedBefore);
                assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
            }
            assertThat(faulty.receivedRequests()).isNotEmpty();
            assertThat(maximumUsed).as("bytes in buffers").isLessThan(MAXIMUM_BUFFER_BYTES);
        }

        private int callQuietly(String path) {
            try {
                return entry.call(path, "key-1").statusCode();
            } catch (Exception exception) {
                // The entry ends the stream without its last chunk.
                return 0;
            }
        }

        private String manySlots(String registration) {
            return registration.replace("\"slots\":8", "\"slots\":" + 2 * MANY_STREAMS);
        }

        private long usedBufferBytes() {
            return UnpooledByteBufAllocator.DEFAULT.metric().usedHeapMemory();
        }

        /** Guards against an answer that breaks off halfway and reaches the caller as a complete success. */
        @ParameterizedTest
        @CsvSource({"PARTIAL_RESPONSE, /once/x, shop", "PARTIAL_STREAM, /stream/x, words"})
        void responseThatBreaksOffIsNoSuccess(Behaviour behaviour, String path, String service) throws Exception {
            InstanceStandIn instance = entry.startInstance("i-1", service, behaviour);
            entry.awaitReady();
            instance.setPartialBytes(Integer.MAX_VALUE);
            assertThat(entry.call(path, "key-1").statusCode()).isEqualTo(200);
            int completeBytes = instance.completeBytes();
            for (int bytes = 0; bytes < completeBytes; bytes += PARTIAL_STEP_BYTES) {
                instance.setPartialBytes(bytes);
                int sentBytes = bytes;
                int receivedBefore = instance.receivedRequests().size();
                // The instance closes a connection behind each complete response; a request sent on it is not received.
                await().atMost(Duration.ofSeconds(10)).until(() -> {
                    assertThat(callQuietly(path))
                            .as("status after %d of %d bytes", sentBytes, completeBytes)
                            .isNotEqualTo(200);
                    return instance.receivedRequests().size() > receivedBefore;
                });
                instance.setPartialBytes(Integer.MAX_VALUE);
                await().atMost(Duration.ofSeconds(10)).until(() -> callQuietly(path) == 200);
            }
        }

        /**
         * Guards against a stalled stream that counts as alive because its instance sends bytes but completes no event.
         */
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

        /** Guards against abandoning a slow but healthy stream when no other instance can resume it. */
        @Test
        void slowStreamContinuesWhenNoOtherInstanceIsAvailable() throws Exception {
            entry.startInstance("i-1", "words", Behaviour.PAUSE_STREAM);
            entry.awaitReady();
            assertThat(events(entry.call(STREAM_PATH, "key-1").body())).isEqualTo(ALL_EVENTS);
        }

        /**
         * Guards against reporting "not executed" for a request that was executed. A duplicate of an earlier refusal
         * arrives on the connection over which the request is retried, and carries the same request id.
         */
        @Test
        void duplicateRefusalIsNotTakenAsResponseToRetry() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.MISDIRECT_TWICE);
            entry.awaitReady();
            assertThat(entry.call(UNSAFE_PATH, "key-1").statusCode()).isEqualTo(504);
            assertThat(shop.receivedRequests()).hasSize(2);
        }

        /**
         * Guards against an error in the middle of a stream, and against a stream that ends as if complete, because the
         * instance that should resume it answers with an error.
         */
        @ParameterizedTest
        @EnumSource(
                value = Behaviour.class,
                names = {"ERROR", "ERROR_TEXT", "DECLINE", "RESET"})
        void errorOfTheNextInstanceDoesNotReachTheStream(Behaviour behaviour) throws Exception {
            entry.startInstance("i-1", "words", Behaviour.TEAR_STREAM);
            entry.awaitReady();
            entry.startInstance("i-2", "words", behaviour);
            awaitInstances();
            int begun = 0;
            for (int request = 0; request < 6; request++) {
                String received = readUntilClosed(STREAM_PATH, "e-" + request);
                if (received.contains("id: 2")) {
                    begun++;
                    assertThat(received).doesNotContain("error: overloaded", "500 failure");
                    assertThat(received).doesNotContain("\r\n0\r\n");
                    assertThat(received.split("HTTP/1.1", -1)).hasSize(2);
                }
            }
            assertThat(begun).as("streams that had begun").isPositive();
        }

        /** Guards against a success for a run that failed, because a late copy of an earlier response breaks off. */
        @ParameterizedTest
        @CsvSource({"/safe/x, shop", "/stream/x, words"})
        void partOfCopyDoesNotTurnFailureIntoSuccess(String path, String service) throws Exception {
            InstanceStandIn instance = entry.startInstance("i-1", service, Behaviour.ANSWER);
            entry.awaitReady();
            String copy = "HTTP/1.1 200 OK\r\nResponse-Stamp: s";
            String failure = "Response-Stamp: s\r\nContent-Length: 0\r\n\r\n";
            // Within the version, the reason phrase and a header; ExtraResponseTest covers all positions.
            for (int bytes : new int[] {5, 14, copy.length()}) {
                instance.setRawResponse(id -> "HTTP/1.1 404 Not Found\r\nRequest-Id: " + id + "\r\n" + failure);
                assertThat(entry.call(path, "key-1").statusCode()).isEqualTo(404);
                String part = copy.substring(0, bytes);
                instance.setRawResponse(
                        id -> part + "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + id + "\r\n" + failure);
                assertThat(entry.call(path, "key-1").statusCode())
                        .as("status behind %d bytes of the copy", bytes)
                        .isGreaterThanOrEqualTo(500);
            }
        }

        /** Guards against an answer that breaks off, or one that is complete, being taken for the other. */
        @Test
        void responseWithoutLengthEndsWithItsConnection() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.UNFRAMED);
            entry.startInstance("i-2", "words", Behaviour.UNFRAMED_STREAM);
            entry.awaitReady();
            assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-1");
            assertThat(events(entry.call(STREAM_PATH, "key-1").body())).isEqualTo(ALL_EVENTS);
        }

        @Test
        void streamWithoutChunksThatEndsWithinAnEventResumesOnAnotherInstance() throws Exception {
            entry.startInstance("i-1", "words", Behaviour.TORN_UNFRAMED_STREAM);
            entry.awaitReady();
            entry.startInstance("i-2", "words", Behaviour.STREAM);
            awaitInstances();
            for (int request = 0; request < 3; request++) {
                assertThat(events(entry.call(STREAM_PATH, "key-1").body())).isEqualTo(ALL_EVENTS);
            }
        }

        /** Guards against an entry of another writer that ends the process, or the reading of the list. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "[[[[",
                    "null",
                    "{\"service\":\"shop\",\"address\":\"127.0.0.1:70000\",\"slots\":8,\"state\":\"ready\"}",
                    "{\"service\":\"shop\",\"address\":\"127.0.0.1:80\",\"slots\":1e999,\"state\":\"ready\"}",
                    "{\"service\":\"shop\",\"address\":\"no.host:80\",\"slots\":8,\"state\":\"ready\"}"
                })
        void oddInstanceDoesNotKeepTheOthersFromBeingFollowed(String registration) throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.store().put("servers/odd", registration);
            entry.store().put("servers/odd\r\nX: y", registration);
            awaitInstances();
            InstanceStandIn later = entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            awaitInstances();
            for (int request = 0; request < 10; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
            }
            assertThat(later.receivedRequests()).isNotEmpty();
        }

        /** Guards against sending requests to the address of an instance whose entry was overwritten. */
        @Test
        void instanceWhoseEntryBecomesUnreadableIsNotUsed() throws Exception {
            InstanceStandIn overwritten = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.store().put("servers/i-1", "[[[[");
            awaitInstances();
            int receivedBefore = overwritten.receivedRequests().size();
            for (int request = 0; request < 10; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-2");
            }
            assertThat(overwritten.receivedRequests()).hasSize(receivedBefore);
        }

        private String readUntilClosed(String path, String id) throws IOException {
            String keepAlive = new String(request(path, id), StandardCharsets.US_ASCII);
            byte[] request = keepAlive
                    .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
                socket.setSoTimeout(6_000);
                socket.getOutputStream().write(request);
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }

        private List<String> events(String body) {
            return body.lines().filter(line -> line.startsWith("id: ")).toList();
        }
    }

    @Nested
    class MisbehavingCaller {

        /** Exceeds the sum of the send buffers of both connections, which the operating system may enlarge. */
        private static final long MAXIMUM_BUFFERED_BYTES = 32L << 20;
        /** The bound on the bodies of all requests together. */
        private static final int MAXIMUM_BODIES_BYTES = 64 << 20;

        private static final int LARGE_BODY_BYTES = 1 << 20;
        private static final int LARGE_RESPONSES = 4;

        /** Guards against buffering a response without limit for a caller that stops reading. */
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
                long writtenBefore = words.writtenBytes();
                byte[] part = socket.getInputStream().readNBytes(1 << 20);
                assertThat(part).hasSize(1 << 20);
                // The instance continues to send once the caller reads again.
                skipHalf(socket, writtenBefore);
                await().atMost(Duration.ofSeconds(10)).until(() -> words.writtenBytes() > writtenBefore);
            }
        }

        private void skipHalf(Socket socket, long bytes) throws IOException {
            socket.getInputStream().skipNBytes(bytes / 2);
        }

        /**
         * Guards against an event loop that stops, and requests of all callers that get no answer, because the bodies
         * of many requests together exceed the memory of the process.
         */
        @Test
        void bodiesBeyondTheirCommonBoundAreRefused() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.configure(7, "\"key-1\"", 2 * LARGE_BODY_BYTES);
            awaitInstances();
            byte[] head = ("POST " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: large\r\n"
                            + "Authorization: Token key-1\r\nContent-Length: " + (LARGE_BODY_BYTES + 1) + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            List<Socket> sockets = new ArrayList<>();
            for (int caller = 0; caller < MAXIMUM_BODIES_BYTES / LARGE_BODY_BYTES + 8; caller++) {
                Socket socket = new Socket("127.0.0.1", entry.callerPort());
                sockets.add(socket);
                socket.getOutputStream().write(head);
                socket.getOutputStream().write(new byte[LARGE_BODY_BYTES]);
            }
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
            // Connections are read in turn, so that any of the bodies may be the ones beyond the bound.
            Set<String> statuses = new HashSet<>();
            Set<Socket> refused = new HashSet<>();
            await().atMost(Duration.ofSeconds(5)).until(() -> {
                for (Socket socket : sockets) {
                    if (!refused.contains(socket) && socket.getInputStream().available() >= 12) {
                        statuses.add(new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
                        refused.add(socket);
                    }
                }
                return refused.size() >= sockets.size() - MAXIMUM_BODIES_BYTES / LARGE_BODY_BYTES;
            });
            assertThat(statuses).containsExactly("HTTP/1.1 503");
            for (Socket socket : sockets) {
                socket.close();
            }
            await().atMost(Duration.ofSeconds(5))
                    .until(() -> entry.call(SAFE_PATH, "key-1", "", "x".repeat(LARGE_BODY_BYTES))
                                    .statusCode()
                            == 200);
        }

        /** Guards against a refusal that is taken for the response to another request, which runs later. */
        @Test
        void refusalOfBodyIsNotWrittenInFrontOfEarlierResponse() throws Exception {
            InstanceStandIn shop = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            entry.configure(7, "\"key-1\"", 2 * LARGE_BODY_BYTES);
            awaitInstances();
            shop.setRawResponse(id -> "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: " + id
                    + "\r\nContent-Length: " + 3 * LARGE_BODY_BYTES + "\r\n\r\n" + "x".repeat(3 * LARGE_BODY_BYTES));
            List<Socket> sockets = new ArrayList<>();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(64 << 10);
                socket.connect(new InetSocketAddress("127.0.0.1", entry.callerPort()));
                socket.setSoTimeout(6_000);
                // More than the operating system buffers for a caller that does not read.
                for (int large = 0; large < LARGE_RESPONSES; large++) {
                    socket.getOutputStream().write(request(SAFE_PATH, "large-" + large));
                }
                await().until(() -> shop.receivedRequests().size() >= 2);
                for (int caller = 0; caller < MAXIMUM_BODIES_BYTES / LARGE_BODY_BYTES; caller++) {
                    sockets.add(new Socket("127.0.0.1", entry.callerPort()));
                    sendPartOfBody(sockets.get(caller));
                }
                awaitInstances();
                sendPartOfBody(socket);
                awaitInstances();
                String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertThat(received.replaceAll("x+", "").lines().filter(line -> line.startsWith("HTTP/")))
                        .containsOnly("HTTP/1.1 200 OK");
            }
            for (Socket socket : sockets) {
                socket.close();
            }
        }

        private void sendPartOfBody(Socket socket) throws IOException {
            socket.getOutputStream()
                    .write(("POST " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: large\r\n"
                                    + "Authorization: Token key-1\r\nContent-Length: " + (LARGE_BODY_BYTES + 1)
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[LARGE_BODY_BYTES]);
        }

        /**
         * Guards against cutting off a partially received request because no other request is in flight at shutdown.
         */
        @Test
        void partiallyReceivedRequestIsAnsweredOnShutdown() throws Exception {
            entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            byte[] bytes = request(SAFE_PATH, "c-2");
            try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
                socket.getOutputStream().write(bytes, 0, bytes.length / 2);
                await().pollDelay(Duration.ofMillis(300)).until(() -> true);
                Thread stopping = new Thread(entry.gateway()::stop);
                stopping.start();
                await().pollDelay(Duration.ofMillis(3_500)).until(() -> true);
                socket.getOutputStream().write(bytes, bytes.length / 2, bytes.length - bytes.length / 2);
                String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertThat(response).startsWith("HTTP/1.1 200").endsWith("done by i-1");
                stopping.join();
            }
        }
    }
}
