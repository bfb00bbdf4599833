package io.oleandermoor.transport.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests where the clients of the daemons take the responses of engines, services and the store to end. */
class ResponseFramingInterceptorTest {

    private static final int TIMEOUT_MILLIS = 1_000;

    private final OkHttpClient http = HttpClients.create(Duration.ofSeconds(5));

    @AfterEach
    void stop() {
        http.dispatcher().executorService().shutdownNow();
    }

    /** Returns the body of a response that a server writes before it closes the connection. */
    private String call(String version, String framingAndBody) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> answered = CompletableFuture.runAsync(() -> answer(
                    server,
                    version + " 200 OK\r\nContent-Type: application/json\r\n" + framingAndBody.translateEscapes()));
            Request request = new Request.Builder()
                    .url("http://127.0.0.1:" + server.getLocalPort() + "/")
                    .build();
            try (Response response = http.newCall(request).execute()) {
                return response.body().string();
            } finally {
                answered.join();
            }
        }
    }

    private static void answer(ServerSocket server, String bytes) {
        try (Socket socket = server.accept()) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            reader.readLine();
        } catch (IOException exception) {
            // The client has ended the connection, or keeps it open.
        }
    }

    /** Guards against a write, an order or a booking that counts as done because of a part of a response. */
    @Nested
    class UnsoundResponse {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip\\r\\nContent-Length: 2\\r\\n\\r\\n{}",
                    "Transfer-Encoding: identity\\r\\nContent-Length: 2\\r\\n\\r\\n{}",
                    "Transfer-Encoding:\\r\\nContent-Length: 2\\r\\n\\r\\n{}",
                    "Transfer-Encoding: chunked\\r\\nContent-Length: 2\\r\\n\\r\\n2\\r\\n{}\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: gzip, chunked\\r\\n\\r\\n2\\r\\n{}\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked\\r\\nTransfer-Encoding: gzip\\r\\n\\r\\n2\\r\\n{}\\r\\n0\\r\\n\\r\\n",
                    "Content-Length: 2\\r\\nContent-Length: 3\\r\\n\\r\\n{}}",
                    "Content-Length: 2, 3\\r\\n\\r\\n{}",
                    "Content-Length: +2\\r\\n\\r\\n{}",
                    "Content-Length: -2\\r\\n\\r\\n{}",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n2 3\\r\\n{}\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n 2\\r\\n{}\\r\\n0\\r\\n\\r\\n"
                })
        void failsItsCall(String framingAndBody) {
            assertThatThrownBy(() -> call("HTTP/1.1", framingAndBody)).isInstanceOf(IOException.class);
        }
    }

    /** Guards against failing a call whose response RFC 9112 permits. */
    @Nested
    class SoundResponse {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 2\\r\\n\\r\\n{}",
                    "Content-Length: 0002\\r\\n\\r\\n{}",
                    "transfer-encoding:CHUNKED\\r\\n\\r\\n2\\r\\n{}\\r\\n0\\r\\n\\r\\n",
                    "Connection: close\\r\\n\\r\\n{}"
                })
        void isTaken(String framingAndBody) throws Exception {
            assertThat(call("HTTP/1.1", framingAndBody)).isEqualTo("{}");
        }
    }
}
