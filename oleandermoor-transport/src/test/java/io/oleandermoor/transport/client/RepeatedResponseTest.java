package io.oleandermoor.transport.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.WriteResult;
import io.oleandermoor.transport.platform.EtcdKeyValueStore;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A second copy of a response reaches no later request. */
class RepeatedResponseTest {

    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(5);
    private static final byte[] NO_BODY = {};
    private static final String SUCCESS = response("200 OK", "{\"number\":1}");
    private static final String FAILURE = response("500 Internal Server Error", "");
    private static final String STREAM =
            response("200 OK", "data: {\"choices\":[{\"delta\":{\"content\":\"own\"}}]}\n\ndata: [DONE]\n\n");

    private final OkHttpClient http = HttpClients.create(SILENCE_LIMIT);
    private RepeatingServer server;

    @BeforeEach
    void start() throws IOException {
        server = new RepeatingServer();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        http.dispatcher().executorService().shutdownNow();
    }

    @Nested
    class ServiceCalls {

        /** Guards against the response of an earlier call as the one of a booking. */
        @Test
        void copyIsNotTakenForTheNextResponse() throws Exception {
            assertThat(statusOf(SUCCESS)).isEqualTo("200");
            server.copiedBytes = SUCCESS.length();
            assertThat(statusOf(FAILURE)).isEqualTo("500");
        }

        /** Guards against a success for a call that failed, because a copy breaks off in its head. */
        @Test
        void partOfCopyIsNotJoinedWithTheNextResponse() throws Exception {
            Map<Integer, String> wrongOutcomes = new TreeMap<>();
            for (int bytes = 0; bytes < SUCCESS.length(); bytes++) {
                server.copiedBytes = 0;
                statusOf(SUCCESS);
                server.copiedBytes = bytes;
                wrongOutcomes.put(bytes, statusOf(FAILURE));
            }
            wrongOutcomes.values().removeIf("500"::equals);
            assertThat(wrongOutcomes).isEmpty();
        }

        private String statusOf(String response) throws Exception {
            server.response = response;
            CompletableFuture<String> outcome = new CompletableFuture<>();
            client().call("POST", "/bookings", Map.of(), NO_BODY, new OutcomeListener(outcome));
            return outcome.get(10, TimeUnit.SECONDS);
        }
    }

    @Nested
    class Engines {

        /** Guards against a completion with the tokens of another one. */
        @Test
        void copyOfStreamIsNotTakenForTheNextCompletion() throws Exception {
            assertThat(complete(STREAM.replace("own", "old"))).isEqualTo("old200");
            server.copiedBytes = STREAM.length();
            assertThat(complete(STREAM)).isEqualTo("own200");
        }

        /** Guards against an order that counts as done although the engine refused it. */
        @Test
        void copyIsNotTakenForTheResponseToAnOrder() throws Exception {
            EngineControl control = new EngineControl(http, server.address(), SILENCE_LIMIT);
            server.response = SUCCESS;
            control.loadModel("model", "1", 1);
            server.copiedBytes = SUCCESS.length();
            server.response = FAILURE;
            assertThatThrownBy(() -> control.unloadModel("model", 1)).isInstanceOf(EngineRefusedException.class);
        }

        private String complete(String response) throws Exception {
            server.response = response;
            CompletableFuture<String> outcome = new CompletableFuture<>();
            client().complete(NO_BODY, new OutcomeListener(outcome));
            return outcome.get(10, TimeUnit.SECONDS);
        }
    }

    @Nested
    class KeyValueService {

        /** Guards against two owners of a name. */
        @Test
        void copyIsNotTakenForTheResponseToWrite() {
            KeyValueStore store = new EtcdKeyValueStore(http, server.address());
            server.response = response("200 OK", "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}");
            assertThat(write(store).applied()).isTrue();
            server.copiedBytes = server.response.length();
            server.response = response("200 OK", "{\"header\":{\"revision\":\"8\"}}");
            assertThat(write(store).applied()).isFalse();
        }

        private WriteResult write(KeyValueStore store) {
            return store.compareAndSet("owner/placement", KeyValueStore.ABSENT, NO_BODY, Optional.empty())
                    .blockingGet();
        }
    }

    private UpstreamClient client() {
        return new UpstreamClient(http, server.address());
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /** Completes with the tokens and the status. */
    private record OutcomeListener(CompletableFuture<String> outcome, StringBuilder text) implements UpstreamListener {

        OutcomeListener(CompletableFuture<String> outcome) {
            this(outcome, new StringBuilder());
        }

        @Override
        public void tokens(String tokens, long generatedTokens) {
            text.append(tokens);
        }

        @Override
        public void completed(Result result) {
            outcome.complete(text.append(result.status()).toString());
        }

        @Override
        public void failed(UpstreamFailure failure) {
            outcome.complete(failure.name());
        }
    }

    /** Writes a part of the response before in front of each response of a connection, and ends no connection. */
    private static final class RepeatingServer implements AutoCloseable {

        private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final ExecutorService threads = Executors.newCachedThreadPool();
        private volatile String response = "";
        private volatile int copiedBytes;

        RepeatingServer() throws IOException {
            threads.execute(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    threads.execute(() -> serve(socket));
                }
            } catch (IOException closed) {
                threads.shutdownNow();
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), ISO_8859_1));
                String earlier = "";
                while (readRequest(reader)) {
                    String own = response;
                    String copy = earlier.substring(0, Math.min(copiedBytes, earlier.length()));
                    socket.getOutputStream().write((copy + own).getBytes(ISO_8859_1));
                    earlier = own;
                }
            } catch (IOException ended) {
                // The client has ended the connection.
            }
        }

        private static boolean readRequest(BufferedReader reader) throws IOException {
            long bodyLength = 0;
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                if (line.startsWith("Content-Length: ")) {
                    bodyLength = Long.parseLong(line.substring("Content-Length: ".length()));
                }
                line = reader.readLine();
            }
            return line != null && reader.skip(bodyLength) == bodyLength;
        }

        @Override
        public void close() throws IOException {
            listening.close();
            threads.shutdownNow();
        }
    }
}
