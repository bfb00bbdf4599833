import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients send safe requests on kept connections, the next one while the one before is still answered (RFC 9112, section
 * 9.3.2), and their entry gets SIGTERM.
 */
public final class PipelineAtStop {

    private static final int CLIENTS = 6;
    private static final int PIPELINED = 4;
    private static final long WORK_MILLIS = 300;
    /** The bounds loss-slack-ms and grace-s. */
    private static final double LOSS_SLACK_SECONDS = 0.2;

    private static final double GRACE_SECONDS = 8;

    private final Case run;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final List<String> lost = new ArrayList<>();
    private int answered;
    private int refused;
    private volatile double stoppedAt = Double.MAX_VALUE;

    private PipelineAtStop(Case run) {
        this.run = run;
    }

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, run -> new PipelineAtStop(run).play());
    }

    private boolean play() throws Exception {
        Store store = new Store();
        store.put("op/config", configuration());
        for (int number = 1; number <= 3; number++) {
            new Replica("i-shop" + number, "shop", "aber-a", store, 6, "", (replica, head, request, output, socket) -> {
                        ran.add(head.header("Request-Id"));
                        run.record.write("replica " + replica.id + " runs " + head.header("Request-Id"));
                        Thread.sleep(WORK_MILLIS);
                        Replica.write(
                                output,
                                head,
                                200,
                                "Response-Stamp: s-" + head.header("Request-Id") + "\r\n",
                                new byte[800]);
                        return true;
                    })
                    .start();
        }
        Entry entry = new Entry("edge-aber-a-1", "aber-a", run.root, run.directory, store);
        entry.start();
        entry.awaitReady();
        run.record.write("the entry is ready");
        List<Thread> clients = new ArrayList<>();
        for (int number = 1; number <= CLIENTS; number++) {
            String name = "c" + number;
            Thread client = new Thread(() -> send(entry, name));
            client.start();
            clients.add(client);
        }
        // All requests are sent, and the second or third of each connection is worked on.
        Thread.sleep(700);
        if (run.trouble) {
            stoppedAt = run.record.seconds();
            run.record.write("SIGTERM");
            entry.terminate();
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        synchronized (this) {
            run.record.write("answered " + answered + ", refused by the entry " + refused + ", run " + ran.size()
                    + ", read and never answered " + lost.size() + ": " + lost);
            return lost.isEmpty();
        }
    }

    /** Sends requests one behind the other on one connection and reads their answers in this order. */
    private void send(Entry entry, String name) {
        List<String> open = new ArrayList<>();
        double sentAt = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), entry.callerPort));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(8_000);
            for (int number = 1; number <= PIPELINED; number++) {
                String id = name + "-" + number;
                socket.getOutputStream()
                        .write(("GET /look/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                                        + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-1\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                open.add(id);
                sentAt = run.record.seconds();
                run.record.write("client has sent " + id);
            }
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (!open.isEmpty()) {
                Http.Head head = Http.readHead(input);
                if (head == null) {
                    throw new IOException("the connection ends");
                }
                Http.readBody(input, head);
                String id = open.remove(0);
                run.record.write("client gets " + head.status() + " for " + id + ", Connection: "
                        + head.header("connection"));
                synchronized (this) {
                    if (head.status() == 200) {
                        answered++;
                    } else {
                        refused++;
                    }
                }
            }
        } catch (IOException exception) {
            double now = run.record.seconds();
            run.record.write("connection of " + name + ": " + exception.getMessage() + ", no answer for " + open);
            boolean planned = now >= stoppedAt && now <= stoppedAt + GRACE_SECONDS + 1;
            if (planned && now > sentAt + LOSS_SLACK_SECONDS) {
                synchronized (this) {
                    lost.addAll(open);
                }
            }
        }
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-look\",\"host\":\"shop.example\",\"path-prefix\":\"/look/\","
                + "\"kind\":\"safe\",\"timeout-ms\":2000,\"target-latency-ms\":300,\"priority\":2,"
                + "\"service\":\"shop\",\"max-attempts\":2,\"allow-anonymous\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"health-path\":\"/health\",\"max-connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t-1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}";
    }
}
