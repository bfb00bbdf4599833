package io.oleandermoor.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MalformedRequestRefusalTest {

    private static final int SILENCE_MILLIS = 2_500;

    private static final String END = "end";

    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    private static final Pattern STATUS_LINE = Pattern.compile("(?:HTTP/1\\.1 )(\\d{3})|(end)$");

    private static final String HEAD = "POST /outer HTTP/1.1\r\nHost: localhost\r\n";

    private static final String INNER = "POST /inner HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\n\r\n";

    private static final String CHUNKED_BODY = "4\r\nbody\r\n0\r\n\r\n";

    private final List<String> handled = new CopyOnWriteArrayList<>();
    private InetSocketAddress address;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        server = JoobyHttpServer.start(address, MAXIMUM_BODY_BYTES, exchange -> {
            handled.add(exchange.path() + "=" + new String(exchange.body(), StandardCharsets.UTF_8));
            exchange.respond(HttpResponse.text(200, "served"));
        });
    }

    @AfterEach
    void stop() {
        server.close();
    }

    /** Writes a text and returns the statuses of the responses, and "end" if the connection ends behind them. */
    private List<String> exchange(String text) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String end = END;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(SILENCE_MILLIS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().transferTo(received);
        } catch (SocketTimeoutException exception) {
            end = "";
        }
        return STATUS_LINE
                .matcher(received.toString(StandardCharsets.ISO_8859_1) + end)
                .results()
                .map((MatchResult result) -> result.group(1) == null ? END : result.group(1))
                .toList();
    }

    /** Guards against a body whose text is served as a request of its own. */
    @Nested
    class MalformedRequest {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip",
                    "Transfer-Encoding: identity\r\nContent-Length: 4",
                    "Transfer-Encoding: chunked;a=b",
                    "Transfer-Encoding:",
                    "Transfer-Encoding: chunked, chunked",
                    "Transfer-Encoding: chunked\r\nContent-Length: 4",
                    "Content-Length: 4\r\nContent-Length: 5",
                    "Content-Length: +4",
                    "Transfer-Encoding : chunked",
                    "X: y\rContent-Length: 4"
                })
        void withAnUnsoundHeadIsRefused(String framing) throws Exception {
            assertThat(exchange(HEAD + framing + "\r\n\r\n" + CHUNKED_BODY + INNER))
                    .containsExactly("400", END);
            assertThat(handled).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"4 5\r\nbody\r\n0", " 4\r\nbody\r\n0", "4\nbody\r\n0", "4\r\nbodyX\r\n0", "4\r\nbody\r\n0 5"
                })
        void withAnUnsoundChunkIsRefused(String chunks) throws Exception {
            assertThat(exchange(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n\r\n" + INNER))
                    .containsExactly("400", END);
            assertThat(handled).isEmpty();
        }

        @Test
        void isRefusedBehindTheResponsesToEarlierRequests() throws Exception {
            String earlier = HEAD + "Content-Length: 4\r\n\r\nbody";
            assertThat(exchange(earlier + HEAD + "Transfer-Encoding: gzip\r\n\r\n" + INNER))
                    .containsExactly("200", "400", END);
            assertThat(handled).containsExactly("/outer=body");
        }
    }

    /** Guards against refusing what RFC 9112 permits. */
    @Nested
    class SoundRequest {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 4\r\n\r\nbody",
                    "Content-Length: 0004\r\n\r\nbody",
                    "Transfer-Encoding: CHUNKED\r\n\r\n4;a=\"b\"\r\nbody\r\n0\r\nx: y\r\n\r\n",
                    "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
                })
        void isServed(String framingAndBody) throws Exception {
            assertThat(exchange(HEAD + framingAndBody + INNER)).containsExactly("200", "200");
            assertThat(handled).containsExactly("/outer=body", "/inner=");
        }
    }
}
