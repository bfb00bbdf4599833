package io.oleandermoor.gateway.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/** A caller that writes bytes of its choice to a connection and reads what comes back until the connection ends. */
public final class RawCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 8_000;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3})");

    private final Socket socket;

    /** Connects to a port of this machine. */
    public RawCaller(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
    }

    /** Returns the head of a request with a key of the default configuration, up to its last header. */
    public static String head(String method, String path, String id) {
        return method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 4000\r\nModel: m\r\nAuthorization: Token key-1\r\n";
    }

    /** Writes a text, one byte a character. */
    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads until what was received ends with a text.
     *
     * @return what was received, one character a byte
     * @throws IOException if the connection ends before, or nothing arrives for 8 s
     */
    public String read(String end) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.lastIndexOf(end) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended after " + received);
            }
            received.append((char) next);
        }
        return received.toString();
    }

    /**
     * Reads until the other side ends the connection.
     *
     * @return what was received, one character a byte
     * @throws IOException if the connection does not end within 8 s
     */
    public String readToEnd() throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        InputStream input = socket.getInputStream();
        try {
            input.transferTo(received);
        } catch (SocketException exception) {
            received.writeBytes("(reset)".getBytes(StandardCharsets.US_ASCII));
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the status codes of the responses in a text, in their order. */
    public static List<String> statuses(String received) {
        return STATUS_LINE
                .matcher(received)
                .results()
                .map((MatchResult result) -> result.group(1))
                .toList();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
