package io.oleandermoor.gateway.soak;

import io.oleandermoor.gateway.standin.EntryFixture;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** A caller that sends requests one after another and keeps its connections open as long as the entry does. */
final class SoakCaller implements Runnable {

    private static final List<String> PATHS =
            List.of(EntryFixture.SAFE_PATH, EntryFixture.UNSAFE_PATH, EntryFixture.STREAM_PATH);
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final long PAUSE_NANOS = 20_000_000;
    private static final int SWITCHES_OF_HUNDRED = 5;

    private final String name;
    private final List<EntryProcess> entries;
    private final UniformRandomProvider random;
    private final BooleanSupplier running;
    private final List<CallerAnswer> answers = new ArrayList<>();
    private final Socket[] sockets;
    private final InputStream[] inputs;
    private int unreachable;

    SoakCaller(String name, List<EntryProcess> entries, UniformRandomProvider random, BooleanSupplier running) {
        this.name = name;
        this.entries = entries;
        this.random = random;
        this.running = running;
        sockets = new Socket[entries.size()];
        inputs = new InputStream[entries.size()];
    }

    /** Returns what was received, once the caller has ended. */
    List<CallerAnswer> answers() {
        return answers;
    }

    /** Returns how often an entry did not accept a connection. */
    int unreachable() {
        return unreachable;
    }

    @Override
    public void run() {
        int entry = random.nextInt(entries.size());
        while (running.getAsBoolean()) {
            if (random.nextInt(100) < SWITCHES_OF_HUNDRED) {
                entry = random.nextInt(entries.size());
            }
            if (!call(entry)) {
                entry = (entry + 1) % entries.size();
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
        for (int index = 0; index < sockets.length; index++) {
            disconnect(index);
        }
    }

    /** Sends a request and keeps what was received. Returns whether the answer was complete. */
    private boolean call(int entry) {
        String path = PATHS.get(random.nextInt(PATHS.size()));
        String requestId = String.format(Locale.ROOT, "%s-%06d", name, answers.size());
        Reception reception = new Reception(requestId, path);
        try {
            if (sockets[entry] == null && !connect(entry)) {
                return false;
            }
            // What arrived on the idle connection belongs to the answer before.
            int early = inputs[entry].available();
            if (early > 0) {
                reception.surplus = new String(inputs[entry].readNBytes(early), StandardCharsets.US_ASCII);
            }
            sockets[entry].getOutputStream().write(request(path, requestId));
            reception.read(inputs[entry]);
        } catch (IOException exception) {
            reception.complete = false;
        }
        answers.add(reception.answer());
        if (!reception.complete || reception.closes) {
            disconnect(entry);
        }
        return reception.complete;
    }

    private static byte[] request(String path, String requestId) {
        String body = "question " + requestId;
        return ("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + requestId
                        + "\r\nAuthorization: Token key-1\r\nModel: "
                        + (path.equals(EntryFixture.STREAM_PATH) ? "m" : "none")
                        + "\r\nDeadline-Ms: 1500\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns whether the entry accepts a connection, which it does not while it starts. */
    private boolean connect(int entry) throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        try {
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), entries.get(entry).callerPort()),
                    TIMEOUT_MILLIS);
        } catch (ConnectException exception) {
            unreachable++;
            socket.close();
            return false;
        }
        sockets[entry] = socket;
        inputs[entry] = new BufferedInputStream(socket.getInputStream());
        return true;
    }

    private void disconnect(int entry) {
        try {
            if (sockets[entry] != null) {
                sockets[entry].close();
            }
        } catch (IOException exception) {
            // The connection is not used again.
            inputs[entry] = null;
        }
        sockets[entry] = null;
    }

    /** An answer as far as it was received. */
    private static final class Reception {

        private final String requestId;
        private final String path;
        private final List<String> stamps = new ArrayList<>();
        private final List<String> requestIds = new ArrayList<>();
        private final StringBuilder body = new StringBuilder();
        private String surplus = "";
        private int status;
        private int length = -1;
        private boolean chunked;
        private boolean closes;
        private boolean complete;

        Reception(String requestId, String path) {
            this.requestId = requestId;
            this.path = path;
        }

        CallerAnswer answer() {
            return new CallerAnswer(requestId, path, status, stamps, requestIds, body.toString(), complete, surplus);
        }

        void read(InputStream input) throws IOException {
            String statusLine = readLine(input);
            if (!statusLine.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
                surplus += statusLine;
                return;
            }
            for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
                readHeader(line);
            }
            status = Integer.parseInt(statusLine.substring(9, 12));
            if (chunked) {
                readChunks(input);
            } else if (length >= 0) {
                append(input, length);
            } else {
                closes = true;
                body.append(new String(input.readAllBytes(), StandardCharsets.US_ASCII));
            }
            complete = true;
        }

        private void readHeader(String line) throws IOException {
            int colon = line.indexOf(": ");
            if (colon < 0) {
                throw new IOException("not a header: " + line);
            }
            String value = line.substring(colon + 2);
            switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
                case "response-stamp" -> stamps.add(value);
                case "request-id" -> requestIds.add(value);
                case "content-length" -> length = Integer.parseInt(value);
                case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
                case "connection" -> closes = value.equalsIgnoreCase("close");
                default -> {
                    // The other headers are not judged.
                }
            }
        }

        private void readChunks(InputStream input) throws IOException {
            int size = Integer.parseInt(readLine(input), 16);
            while (size > 0) {
                append(input, size);
                readLine(input);
                size = Integer.parseInt(readLine(input), 16);
            }
            readLine(input);
        }

        private void append(InputStream input, int size) throws IOException {
            byte[] bytes = input.readNBytes(size);
            body.append(new String(bytes, StandardCharsets.US_ASCII));
            if (bytes.length < size) {
                throw new IOException("the body ended");
            }
        }

        private static String readLine(InputStream input) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = input.read(); next != '\n'; next = input.read()) {
                if (next < 0) {
                    throw new IOException("the connection ended");
                }
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.toString();
        }
    }
}
