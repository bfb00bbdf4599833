import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound replica: one request at a time on a connection, Target-Instance checked, identifiers echoed, answers signed. */
class Replica {

    /** Answers a request that this replica runs. */
    interface Work {

        void run(Request request, OutputStream output) throws IOException;
    }

    record Request(String line, String head, byte[] body) {

        String id() {
            return Run.header(head, "Request-Id");
        }

        String path() {
            return line.split(" ")[1];
        }
    }

    final String id;
    final String service;
    final String zone;
    private final Run run;
    private final Store store;
    private final ServerSocket server;
    private final Work work;
    private final long born = System.currentTimeMillis();
    final List<Request> received = new ArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    volatile String state = "ready";

    Replica(Run run, Store store, String id, String service, String zone, Work work) throws IOException {
        this.run = run;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.work = work;
        server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        thread("accept-" + id, this::accept);
    }

    static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The models and what else the replica says of itself in the list. */
    Map<String, Object> description() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("service", service);
        fields.put("address", address());
        fields.put("zone", zone);
        fields.put("version", "v1");
        fields.put("slots", 64L);
        fields.put("state", state);
        fields.put("cold-remaining-ms", 0L);
        fields.put("born", born);
        fields.put("sequence", 0L);
        return fields;
    }

    /** Writes the description of this replica to the store. */
    void register() {
        store.put("servers/" + id, description());
    }

    /** Ends the replica with all that it runs, as a crash does. */
    void crash() {
        try {
            server.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException cause) {
            run.log("replica %s: %s", id, cause.getMessage());
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                thread("replica-" + id, () -> serve(socket));
            }
        } catch (IOException cause) {
            // The replica has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            sockets.removeIf(Socket::isClosed);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            String head = Run.readHead(input);
            while (head != null) {
                String length = Run.header(head, "Content-Length");
                byte[] body = input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                Request request = new Request(head.substring(0, head.indexOf("\r\n")), head, body);
                if (!Run.header(head, "Target-Instance").isEmpty()
                        && !Run.header(head, "Target-Instance").equals(id)) {
                    Run.write(output, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id()
                            + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    synchronized (received) {
                        received.add(request);
                    }
                    work.run(request, output);
                }
                head = Run.readHead(input);
            }
        } catch (IOException cause) {
            run.log("replica %s: connection ended: %s", id, cause.getMessage());
        }
    }

    /** Writes a whole answer with its signature. */
    static void answer(OutputStream output, Request request, int status, byte[] body) throws IOException {
        Run.write(output, "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.id() + "\r\nResponse-Stamp: s."
                + request.id() + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n");
        output.write(body);
        output.flush();
    }
}
