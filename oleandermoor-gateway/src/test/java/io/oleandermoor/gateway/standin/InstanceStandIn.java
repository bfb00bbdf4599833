package io.oleandermoor.gateway.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** An instance that behaves as told: it answers, breaks off, stays silent, or sends what nobody asked for. */
public final class InstanceStandIn implements AutoCloseable {

    /** What the instance does with a request. */
    public enum Behaviour {
        /** Answers with a whole body. */
        ANSWER,
        /** Streams five events from the one after the last that the request names. */
        STREAM,
        /** Streams two events and a part of the third, and resets the connection. */
        TEAR_STREAM,
        /** Streams two events and then stays silent with its connection open. */
        STALL_STREAM,
        /** Reads the request and never answers. */
        SILENT,
        /** Reads the request and resets the connection. */
        RESET,
        /** Answers, and sends a second answer with another identifier. */
        EXTRA,
        /** Answers after four seconds. */
        SLOW,
        /** States that it did not run the request. */
        DECLINE,
        /** Says twice that it is another instance, and from the second request on runs each one without an answer. */
        MISDIRECT_TWICE,
        /** Sends interim answers without end. */
        ENDLESS_INTERIM,
        /** Sends a header without end. */
        ENDLESS_HEAD,
        /** Sends an answer to somebody else that has no end. */
        ENDLESS_FOREIGN,
        /** Sends an answer that has no end. */
        ENDLESS_BODY,
        /** Streams two events, and then a byte of a comment now and then. */
        DRIBBLE_STREAM,
        /** Streams five events, with a long pause after the second. */
        PAUSE_STREAM,
        /** Streams large events without end. */
        FLOOD_STREAM
    }

    private static final long SLOW_NANOS = 4_000_000_000L;
    private static final long PAUSE_NANOS = 1_300_000_000L;
    private static final long DRIBBLE_NANOS = 50_000_000L;
    private static final long FLOOD_BYTES = 64L << 20;
    private static final int EVENTS = 5;
    private static final int TORN_AFTER = 2;

    private final ServerSocket listening;
    private final String id;
    private final List<Map<String, String>> received = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final AtomicLong written = new AtomicLong();
    private volatile Behaviour behaviour;

    /** Starts an instance on a free port of the loopback. */
    public InstanceStandIn(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "instance-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns what the instance writes to the store. */
    public String entry(String service, String state, String models) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listening.getLocalPort()
                + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"" + state + "\",\"sequence\":1,\"born\":1,\"models\":"
                + models + "}";
    }

    /** Changes what it does from the next request on. */
    public void behave(Behaviour next) {
        behaviour = next;
    }

    /** Returns the headers of the requests that came, with lower-case names. */
    public List<Map<String, String>> received() {
        return received;
    }

    /** Returns the bytes that it has written. */
    public long written() {
        return written.get();
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                open.add(socket);
                Thread thread = new Thread(() -> serve(socket), "connection-" + id);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Map<String, String> request = read(input);
                if (request.get("line").startsWith("GET /api/")) {
                    write(socket.getOutputStream(), whole("", "503 Service Unavailable", "Not-Executed: 1\r\n", ""));
                    continue;
                }
                received.add(request);
                if (!answer(socket, request)) {
                    return;
                }
            }
        } catch (IOException exception) {
            // The entry has closed the connection.
            open.remove(socket);
        }
    }

    private static Map<String, String> read(InputStream input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        headers.put("line", line(input));
        String header = line(input);
        while (!header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
            header = line(input);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        headers.put("body", new String(input.readNBytes(length), StandardCharsets.UTF_8));
        return headers;
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next != '\n') {
            if (next < 0) {
                throw new IOException("the connection has ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return line.toString();
    }

    private boolean answer(Socket socket, Map<String, String> request) throws IOException {
        String requestId = request.getOrDefault("request-id", "");
        OutputStream output = socket.getOutputStream();
        switch (behaviour) {
            case ANSWER -> write(output, whole(requestId, "200 OK", "Response-Stamp: s\r\n", "done by " + id));
            case SLOW -> {
                LockSupport.parkNanos(SLOW_NANOS);
                write(output, whole(requestId, "200 OK", "Response-Stamp: s\r\n", "done by " + id));
            }
            case EXTRA -> {
                write(output, whole(requestId, "200 OK", "Response-Stamp: s\r\n", "done by " + id));
                write(output, whole("somebody-else", "200 OK", "Response-Stamp: s\r\n", "not yours"));
            }
            case DECLINE -> write(output, whole(requestId, "503 Service Unavailable", "Not-Executed: 1\r\n", ""));
            case STREAM -> stream(output, requestId, first(request), EVENTS);
            case TEAR_STREAM -> {
                stream(output, requestId, first(request), TORN_AFTER);
                return reset(socket);
            }
            case STALL_STREAM -> stream(output, requestId, first(request), TORN_AFTER);
            case RESET -> {
                return reset(socket);
            }
            case MISDIRECT_TWICE -> {
                if (received.size() == 1) {
                    String misdirected = whole(requestId, "421 Misdirected Request", "Not-Executed: 1\r\n", "");
                    write(output, misdirected + misdirected);
                }
            }
            case ENDLESS_INTERIM, ENDLESS_HEAD, ENDLESS_FOREIGN, ENDLESS_BODY -> endless(output, requestId);
            case DRIBBLE_STREAM -> {
                stream(output, requestId, first(request), TORN_AFTER);
                while (true) {
                    chunk(output, ":");
                    LockSupport.parkNanos(DRIBBLE_NANOS);
                }
            }
            case PAUSE_STREAM -> {
                stream(output, requestId, first(request), TORN_AFTER, "");
                LockSupport.parkNanos(PAUSE_NANOS);
                for (int event = TORN_AFTER + 1; event <= EVENTS; event++) {
                    chunk(output, event(event));
                }
                write(output, "0\r\n\r\n");
            }
            case FLOOD_STREAM -> {
                streamHead(output, requestId);
                String filling = "x".repeat(16 << 10);
                for (int event = 1; written.get() < FLOOD_BYTES; event++) {
                    chunk(output, "id: " + event + "\ndata: " + filling + "\n\n");
                }
            }
            default -> {
                // SILENT: the connection stays open.
            }
        }
        return true;
    }

    /** Writes until the other side closes the connection. */
    private void endless(OutputStream output, String requestId) throws IOException {
        String filling = "x".repeat(8 << 10);
        switch (behaviour) {
            case ENDLESS_HEAD -> write(output, "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nFilling: ");
            case ENDLESS_FOREIGN -> streamHead(output, "somebody-else");
            case ENDLESS_BODY -> streamHead(output, requestId);
            default -> {
                // Interim answers need no beginning.
            }
        }
        while (true) {
            if (behaviour == Behaviour.ENDLESS_INTERIM) {
                write(output, "HTTP/1.1 100 Continue\r\n\r\n");
            } else if (behaviour == Behaviour.ENDLESS_HEAD) {
                write(output, filling);
            } else {
                chunk(output, filling);
            }
        }
    }

    private static boolean reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    private static int first(Map<String, String> request) {
        return Integer.parseInt(request.getOrDefault("last-event-id", "0")) + 1;
    }

    private void stream(OutputStream output, String requestId, int first, int last) throws IOException {
        stream(output, requestId, first, last, "id: " + (last + 1) + "\nda");
    }

    /** Streams events, and ends after the last one of all or goes on with what follows an earlier one. */
    private void stream(OutputStream output, String requestId, int first, int last, String torn) throws IOException {
        streamHead(output, requestId);
        for (int event = first; event <= last; event++) {
            chunk(output, event(event));
        }
        if (last == EVENTS) {
            write(output, "0\r\n\r\n");
        } else if (!torn.isEmpty()) {
            chunk(output, torn);
        }
    }

    private void streamHead(OutputStream output, String requestId) throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Stamp: s\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: " + number + "\n\n";
    }

    private void chunk(OutputStream output, String text) throws IOException {
        write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String whole(String requestId, String status, String header, String body) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n" + header + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private void write(OutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        output.write(bytes);
        output.flush();
        written.addAndGet(bytes.length);
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
