package io.oleandermoor.transport.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class JoobyHttpServerTest {

    private static final int LIMIT_MILLIS = 10_000;

    /** Guards against a closed server that keeps its port and leaves callers waiting on open connections. */
    @Test
    void closeEndsConnectionsAndFreesThePort() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        HttpServer server = JoobyHttpServer.start(
                address,
                1_000,
                exchange -> exchange.startEventStream(Map.of(), () -> {})
                        .send("data: first\n\n".getBytes(StandardCharsets.US_ASCII)));
        try (Socket socket = new Socket()) {
            socket.connect(address, LIMIT_MILLIS);
            socket.setSoTimeout(LIMIT_MILLIS);
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            assertThat(reader.readLine()).startsWith("HTTP/1.1 200");
            server.close();
            assertThat(readToEnd(reader)).isTrue();
        }
        try (Socket socket = new Socket()) {
            assertThatThrownBy(() -> socket.connect(address, LIMIT_MILLIS)).isInstanceOf(ConnectException.class);
        }
    }

    /** Returns whether the connection ended, which may be by a reset; a silent one fails with a timeout. */
    private static boolean readToEnd(BufferedReader reader) throws IOException {
        try {
            while (reader.readLine() != null) {
                // What was sent before the end does not matter.
            }
        } catch (java.net.SocketTimeoutException exception) {
            return false;
        } catch (IOException exception) {
            return true;
        }
        return true;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static final String STOPPING = "stopping";

    /** Guards against a server that closes its connections at the signal, while the daemon still drains requests. */
    @Test
    void answersWhileTheProcessStops() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        StoppingProcess.class.getName(),
                        Integer.toString(port))
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        try (BufferedReader output = process.inputReader()) {
            assertThat(output.lines().anyMatch("started"::equals)).isTrue();
            process.toHandle().destroy();
            assertThat(output.lines().anyMatch(STOPPING::equals)).isTrue();
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/end"))
                    .build();
            assertThat(HttpClient.newHttpClient()
                            .send(request, BodyHandlers.ofString())
                            .body())
                    .isEqualTo("ended");
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        } finally {
            process.destroyForcibly();
        }
    }

    /** A process whose stop lasts until a request has been answered, as that of an entry does. */
    static final class StoppingProcess {

        private static final long HOOKS_MILLIS = 1_000;

        private StoppingProcess() {}

        public static void main(String[] arguments) throws Exception {
            CountDownLatch answered = new CountDownLatch(1);
            JoobyHttpServer.start(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[0])),
                    1 << 16,
                    exchange -> {
                        exchange.respond(HttpResponse.text(200, "ended"));
                        answered.countDown();
                    });
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    // Other hooks run at the same time and must have had the time to close the server.
                    Thread.sleep(HOOKS_MILLIS);
                    System.out.println(STOPPING);
                    answered.await(10, TimeUnit.SECONDS);
                    Thread.sleep(HOOKS_MILLIS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }));
            System.out.println("started");
            new CountDownLatch(1).await();
        }
    }
}
