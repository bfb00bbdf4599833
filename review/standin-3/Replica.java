import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A replica of a service, which registers itself in the store. What it answers is a matter of its handler. */
final class Replica {

    /** Answers one request on a connection. */
    interface Handler {
        /** Runs the request and writes the answer; returns whether the connection stays open. */
        boolean handle(Replica replica, Http.Head head, byte[] body, OutputStream output, Socket socket)
                throws IOException, InterruptedException;
    }

    /** Answers the calls of the system to a model replica: reports and orders. */
    interface Control {
        void handle(Http.Head head, byte[] body, OutputStream output) throws IOException;
    }

    final String id;
    final String service;
    private final String zone;
    private final Store store;
    private final Handler handler;
    private final int slots;
    private volatile String models;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket server;
    private volatile long born;
    private volatile Control control = this::answerControl;

    /**
     * Creates a replica that is not started yet.
     *
     * @param models the models that it holds, as JSON; empty for a plain service
     */
    Replica(String id, String service, String zone, Store store, int slots, String models, Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.slots = slots;
        this.models = models;
        this.handler = handler;
        port = Ports.free();
    }

    int port() {
        return port;
    }

    long born() {
        return born;
    }

    /** Sets the models that the replica says it holds, and writes its entry into the store. */
    void setModels(String newModels) {
        models = newModels;
        register("ready");
    }

    /** Sets what answers reports and orders instead of a fixed report and the refusal of all orders. */
    void setControl(Control newControl) {
        control = newControl;
    }

    private void answerControl(Http.Head head, byte[] body, OutputStream output) throws IOException {
        if (head.first().startsWith("POST ")) {
            write(output, head, 409, "Content-Type: application/json\r\n", "{}".getBytes(StandardCharsets.UTF_8));
            return;
        }
        String report = "{\"phase\":\"colocated\",\"models\":" + (models.isEmpty() ? "[]" : models)
                + ",\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\"kv-used\":0,"
                + "\"kv-total\":90000,\"handles\":0,\"born\":" + born + "}";
        write(output, head, 200, "Content-Type: application/json\r\n", report.getBytes(StandardCharsets.UTF_8));
    }

    /** Starts the replica, or starts it again with the same id and address and another time of birth. */
    synchronized void start() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        server = opened;
        born = Math.max(System.currentTimeMillis(), born + 1);
        Thread acceptor = new Thread(() -> accept(opened), id);
        acceptor.setDaemon(true);
        acceptor.start();
        register("ready");
    }

    /** Writes the entry of this replica into the store. */
    void register(String state) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                        + "\",\"version\":1,\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":" + born
                        + (models.isEmpty() ? "" : ",\"phase\":\"colocated\",\"models\":" + models) + "}");
    }

    /** Ends the replica as a crash does: its connections are reset and its port is closed. */
    synchronized void crash() throws IOException {
        server.close();
        for (Socket socket : connections) {
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException exception) {
                // It is closed already.
            }
            socket.close();
        }
        connections.clear();
    }

    private void accept(ServerSocket opened) {
        while (true) {
            try {
                Socket socket = opened.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Thread thread = new Thread(() -> serve(socket), id + "-connection");
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
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(input);
                if (head == null) {
                    return;
                }
                byte[] body = Http.readBody(input, head);
                String target = head.header("Target-Instance");
                if (!target.isEmpty() && !target.equals(id)) {
                    write(output, head, 421, "Not-Executed: 1\r\n", new byte[0]);
                } else if (head.first().startsWith("GET /health ")) {
                    write(output, head, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
                } else if (head.first().startsWith("GET /api/report ")
                        || head.first().startsWith("POST /api/order ")) {
                    control.handle(head, body, output);
                } else if (!handler.handle(this, head, body, output, socket)) {
                    return;
                }
            }
        } catch (IOException exception) {
            // The caller has closed the connection, or the replica has crashed.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    /** Writes a whole answer with the id of its request. */
    static void write(OutputStream output, Http.Head request, int status, String headers, byte[] body)
            throws IOException {
        String id = request.header("Request-Id");
        String head = "HTTP/1.1 " + status + " -\r\n" + (id.isEmpty() ? "" : "Request-Id: " + id + "\r\n") + headers
                + "Content-Length: " + body.length + "\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
    }
}
