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

    private static final long SLOW_RESPONSE_NANOS = 4_000_000_000L;
    private static final long STREAM_PAUSE_NANOS = 1_300_000_000L;
    private static final long DRIBBLE_INTERVAL_NANOS = 50_000_000L;
    private static final long FLOOD_BYTES = 64L << 20;
    private static final int EVENT_COUNT = 5;
    private static final int EVENTS_BEFORE_INTERRUPTION = 2;

    private final ServerSocket serverSocket;
    private final String id;
    private final List<Map<String, String>> receivedRequests = new CopyOnWriteArrayList<>();
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    private final AtomicLong writtenBytes = new AtomicLong();
    private volatile Behaviour behaviour;

    /** Starts an instance on a free port of the loopback. */
    public InstanceStandIn(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "instance-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns what the instance writes to the store. */
    public String registration(String service, String state, String models) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + serverSocket.getLocalPort()
                + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"" + state + "\",\"sequence\":1,\"born\":1,\"models\":"
                + models + "}";
    }

    /** Changes what it does from the next request on. */
    public void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** Returns the headers of the requests that came, with lower-case names. */
    public List<Map<String, String>> receivedRequests() {
        return receivedRequests;
    }

    /** Returns the bytes that it has written. */
    public long writtenBytes() {
        return writtenBytes.get();
    }

    private void accept() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                openSockets.add(socket);
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
                Map<String, String> request = readRequest(input);
                if (request.get("line").startsWith("GET /api/")) {
                    write(
                            socket.getOutputStream(),
                            responseText("", "503 Service Unavailable", "Not-Executed: 1\r\n", ""));
                    continue;
                }
                receivedRequests.add(request);
                if (!respond(socket, request)) {
                    return;
                }
            }
        } catch (IOException exception) {
            // The entry has closed the connection.
            openSockets.remove(socket);
        }
    }

    private static Map<String, String> readRequest(InputStream input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        headers.put("line", readLine(input));
        String header = readLine(input);
        while (!header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
            header = readLine(input);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        headers.put("body", new String(input.readNBytes(length), StandardCharsets.UTF_8));
        return headers;
    }

    private static String readLine(InputStream input) throws IOException {
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

    private boolean respond(Socket socket, Map<String, String> request) throws IOException {
        String requestId = request.getOrDefault("request-id", "");
        OutputStream output = socket.getOutputStream();
        switch (behaviour) {
            case ANSWER -> write(output, responseText(requestId, "200 OK", "Response-Stamp: s\r\n", "done by " + id));
            case SLOW -> {
                LockSupport.parkNanos(SLOW_RESPONSE_NANOS);
                write(output, responseText(requestId, "200 OK", "Response-Stamp: s\r\n", "done by " + id));
            }
            case EXTRA -> {
                write(output, responseText(requestId, "200 OK", "Response-Stamp: s\r\n", "done by " + id));
                write(output, responseText("somebody-else", "200 OK", "Response-Stamp: s\r\n", "not yours"));
            }
            case DECLINE ->
                write(output, responseText(requestId, "503 Service Unavailable", "Not-Executed: 1\r\n", ""));
            case STREAM -> writeStream(output, requestId, firstRequestedEvent(request), EVENT_COUNT);
            case TEAR_STREAM -> {
                writeStream(output, requestId, firstRequestedEvent(request), EVENTS_BEFORE_INTERRUPTION);
                return prepareReset(socket);
            }
            case STALL_STREAM ->
                writeStream(output, requestId, firstRequestedEvent(request), EVENTS_BEFORE_INTERRUPTION);
            case RESET -> {
                return prepareReset(socket);
            }
            case MISDIRECT_TWICE -> {
                if (receivedRequests.size() == 1) {
                    String misdirected = responseText(requestId, "421 Misdirected Request", "Not-Executed: 1\r\n", "");
                    write(output, misdirected + misdirected);
                }
            }
            case ENDLESS_INTERIM, ENDLESS_HEAD, ENDLESS_FOREIGN, ENDLESS_BODY -> writeEndlessly(output, requestId);
            case DRIBBLE_STREAM -> {
                writeStream(output, requestId, firstRequestedEvent(request), EVENTS_BEFORE_INTERRUPTION);
                while (true) {
                    writeChunk(output, ":");
                    LockSupport.parkNanos(DRIBBLE_INTERVAL_NANOS);
                }
            }
            case PAUSE_STREAM -> {
                writeStream(output, requestId, firstRequestedEvent(request), EVENTS_BEFORE_INTERRUPTION, "");
                LockSupport.parkNanos(STREAM_PAUSE_NANOS);
                for (int event = EVENTS_BEFORE_INTERRUPTION + 1; event <= EVENT_COUNT; event++) {
                    writeChunk(output, eventText(event));
                }
                write(output, "0\r\n\r\n");
            }
            case FLOOD_STREAM -> {
                writeStreamHead(output, requestId);
                String filling = "x".repeat(16 << 10);
                for (int event = 1; writtenBytes.get() < FLOOD_BYTES; event++) {
                    writeChunk(output, "id: " + event + "\ndata: " + filling + "\n\n");
                }
            }
            default -> {
                // SILENT: the connection stays open.
            }
        }
        return true;
    }

    /** Writes until the other side closes the connection. */
    private void writeEndlessly(OutputStream output, String requestId) throws IOException {
        String filling = "x".repeat(8 << 10);
        switch (behaviour) {
            case ENDLESS_HEAD -> write(output, "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nFilling: ");
            case ENDLESS_FOREIGN -> writeStreamHead(output, "somebody-else");
            case ENDLESS_BODY -> writeStreamHead(output, requestId);
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
                writeChunk(output, filling);
            }
        }
    }

    private static boolean prepareReset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    private static int firstRequestedEvent(Map<String, String> request) {
        return Integer.parseInt(request.getOrDefault("last-event-id", "0")) + 1;
    }

    private void writeStream(OutputStream output, String requestId, int first, int last) throws IOException {
        writeStream(output, requestId, first, last, "id: " + (last + 1) + "\nda");
    }

    /** Streams events, and ends after the last one of all or goes on with what follows an earlier one. */
    private void writeStream(OutputStream output, String requestId, int first, int last, String torn)
            throws IOException {
        writeStreamHead(output, requestId);
        for (int event = first; event <= last; event++) {
            writeChunk(output, eventText(event));
        }
        if (last == EVENT_COUNT) {
            write(output, "0\r\n\r\n");
        } else if (!torn.isEmpty()) {
            writeChunk(output, torn);
        }
    }

    private void writeStreamHead(OutputStream output, String requestId) throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Stamp: s\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static String eventText(int number) {
        return "id: " + number + "\ndata: " + number + "\n\n";
    }

    private void writeChunk(OutputStream output, String text) throws IOException {
        write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String responseText(String requestId, String status, String header, String body) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n" + header + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private void write(OutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        output.write(bytes);
        output.flush();
        writtenBytes.addAndGet(bytes.length);
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }
}
