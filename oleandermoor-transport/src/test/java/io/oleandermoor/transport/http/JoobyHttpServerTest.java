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
import java.nio.charset.StandardCharsets;
import java.util.Map;
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
}
