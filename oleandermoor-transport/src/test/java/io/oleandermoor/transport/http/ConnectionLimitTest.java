package io.oleandermoor.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConnectionLimitTest {

    private static final int LIMIT = 3;

    private static final int TIMEOUT_MILLIS = 10_000;

    /** Larger than the socket buffers, so that the answer is lost if the server closes without reading. */
    private static final int LARGE = 8 << 20;

    private final ConnectionLimit connections = new ConnectionLimit(LIMIT);
    private final List<Socket> sockets = new ArrayList<>();
    private InetSocketAddress address;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        server = JoobyHttpServer.start(
                address, LARGE, connections, exchange -> exchange.respond(HttpResponse.text(200, "served")));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.close();
    }

    /**
     * Guards against connections without bound, a refusal that callers cannot read, and places that are not given back.
     */
    @Test
    void refusesFurtherConnectionsWithAnAnswer() throws Exception {
        for (int index = 0; index < LIMIT; index++) {
            assertThat(exchange(connect(), 0)).startsWith("HTTP/1.1 200");
        }
        assertThat(connections.open()).isEqualTo(LIMIT);
        assertThat(exchange(connect(), 0)).startsWith("HTTP/1.1 503").contains("Retry-After: 1\r\n", "\"not_run\"");
        assertThat(exchange(connect(), LARGE)).startsWith("HTTP/1.1 503");
        assertThat(connections.refused()).isEqualTo(2);
        sockets.get(0).close();
        // The server learns of the close while it serves others.
        for (int attempt = 0; connections.open() == LIMIT && attempt < 1_000; attempt++) {
            assertThat(exchange(sockets.get(1), 0)).startsWith("HTTP/1.1 200");
        }
        assertThat(exchange(connect(), 0)).startsWith("HTTP/1.1 200");
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        sockets.add(socket);
        return socket;
    }

    private static String exchange(Socket socket, int bodyBytes) throws IOException {
        String head = "POST / HTTP/1.1\r\nHost: localhost\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(new byte[bodyBytes]);
        byte[] answer = new byte[4096];
        int length = socket.getInputStream().read(answer);
        return new String(answer, 0, Math.max(0, length), StandardCharsets.US_ASCII);
    }
}
