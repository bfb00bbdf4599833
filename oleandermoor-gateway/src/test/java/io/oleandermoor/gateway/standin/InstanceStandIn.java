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
        DECLINE
    }

    private static final long SLOW_NANOS = 4_000_000_000L;
    private static final int EVENTS = 5;
    private static final int TORN_AFTER = 2;

    private final ServerSocket listening;
    private final String id;
    private final List<Map<String, String>> received = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
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
            default -> {
                // SILENT: the connection stays open.
            }
        }
        return true;
    }

    private static boolean reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    private static int first(Map<String, String> request) {
        return Integer.parseInt(request.getOrDefault("last-event-id", "0")) + 1;
    }

    private static void stream(OutputStream output, String requestId, int first, int last) throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Stamp: s\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = first; event <= last; event++) {
            chunk(output, "id: " + event + "\ndata: " + event + "\n\n");
        }
        if (last == EVENTS) {
            write(output, "0\r\n\r\n");
        } else {
            chunk(output, "id: " + (last + 1) + "\nda");
        }
    }

    private static void chunk(OutputStream output, String text) throws IOException {
        write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String whole(String requestId, String status, String header, String body) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n" + header + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
