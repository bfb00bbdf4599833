package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small HTTP/1.1 server on a free loopback port, with a thread for each connection. */
public abstract class Http implements Server {

    /** A request: headers by lower-case name. */
    public record Request(String method, String uri, Map<String, String> headers, byte[] body, long arrivedMillis) {

        public String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        public Map<String, String> query() {
            Map<String, String> values = new LinkedHashMap<>();
            int start = uri.indexOf('?');
            for (String pair : start < 0 ? new String[0] : uri.substring(start + 1).split("&")) {
                int equals = pair.indexOf('=');
                values.put(
                        pair.substring(0, equals),
                        java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            return values;
        }

        public String header(String name) {
            return headers.getOrDefault(name, "");
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    protected final Record record;

    protected Http(Record record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    }

    @Override
    public void start() {
        daemon(this::accept);
    }

    public static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            while (open) {
                Request request = readRequest(input);
                if (request == null) {
                    break;
                }
                open = handle(request, socket);
            }
        } catch (IOException exception) {
            // The other side has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers a request. Returns whether the connection stays open. */
    protected abstract boolean handle(Request request, Socket socket) throws IOException;

    private Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(words[0], words[1], headers, body, record.millis());
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String header = readLine(input);
        while (header != null && !header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
            header = readLine(input);
        }
        return headers;
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Writes a complete answer. */
    public static void answer(Socket socket, int status, String headerLines, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        OutputStream output = socket.getOutputStream();
        String head = "HTTP/1.1 " + status + " x\r\n" + headerLines + "Content-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        output.write(all.toByteArray());
        output.flush();
    }

    /** Closes the port and all connections, as the end of a process does. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
