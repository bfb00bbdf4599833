import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The operator adds two tenants whose names contain Welsh letters. The replica must learn from each request which tenant
 * holds the key of its caller.
 */
public final class TenantNames {

    private static final int REQUESTS = 20;
    /** The names "Siop T\u0177" and "Siop T\u0175", of different tenants. */
    private static final List<String> ADDED = List.of("Siop T\u0177", "Siop T\u0175");

    private static final List<String> BEFORE = List.of("hule930", "xaka200");

    private final Case run;
    /** The bytes of Tenant with which requests ran, by the tenant whose key they came with. */
    private final Map<String, Set<String>> seen = new TreeMap<>();

    private TenantNames(Case run) {
        this.run = run;
    }

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, run -> new TenantNames(run).play());
    }

    private boolean play() throws Exception {
        Store store = new Store();
        store.put("op/config", configuration(7, BEFORE));
        for (int number = 1; number <= 3; number++) {
            new Replica("i-shop" + number, "shop", "aber-a", store, 6, "", (replica, head, body, output, socket) -> {
                        // The request id tells which tenant's key the client sent.
                        String tenant = tenant(Integer.parseInt(head.header("Request-Id").split("-")[1]));
                        String bytes = HexFormat.of()
                                .formatHex(head.header("Tenant").getBytes(StandardCharsets.ISO_8859_1));
                        run.record.write("replica " + replica.id + " runs " + head.header("Request-Id")
                                + " with the bytes " + bytes + " in Tenant");
                        synchronized (this) {
                            seen.computeIfAbsent(tenant, key -> new TreeSet<>()).add(bytes);
                        }
                        Replica.write(output, head, 200, "Response-Stamp: s\r\n", new byte[800]);
                        return true;
                    })
                    .start();
        }
        Entry entry = new Entry("edge-aber-a-1", "aber-a", run.root, run.directory, store);
        entry.start();
        entry.awaitReady();
        run.record.write("the entry is ready");
        send(entry, 0);
        send(entry, 1);
        if (run.trouble) {
            List<String> all = new ArrayList<>(BEFORE);
            all.addAll(ADDED);
            store.put("op/config", configuration(8, all));
            run.record.write("the operator adds two tenants in version 8; the store has acknowledged it");
            Thread.sleep(3_000);
            send(entry, 2);
            send(entry, 3);
        }
        return judge();
    }

    private synchronized boolean judge() {
        boolean held = true;
        Map<String, String> tenantByBytes = new TreeMap<>();
        for (Map.Entry<String, Set<String>> each : seen.entrySet()) {
            String name = each.getKey();
            run.record.write("tenant " + escaped(name) + " is in UTF-8 " + hex(name, StandardCharsets.UTF_8) + "; its requests ran with "
                    + each.getValue());
            for (String bytes : each.getValue()) {
                String other = tenantByBytes.put(bytes, name);
                if (other != null && !other.equals(name)) {
                    run.record.write("tenants " + escaped(other) + " and " + escaped(name) + " ran under one name");
                    held = false;
                }
                // The encoding that the name has in the configuration, or that of header fields of old.
                boolean latin = StandardCharsets.ISO_8859_1.newEncoder().canEncode(name)
                        && bytes.equals(hex(name, StandardCharsets.ISO_8859_1));
                if (!bytes.equals(hex(name, StandardCharsets.UTF_8)) && !latin) {
                    run.record.write("requests of " + escaped(name) + " ran under a name that is not this tenant's");
                    held = false;
                }
            }
        }
        return held;
    }

    private static String hex(String text, Charset charset) {
        return HexFormat.of().formatHex(text.getBytes(charset));
    }

    private static String escaped(String text) {
        StringBuilder result = new StringBuilder();
        text.chars().forEach(each -> result.append(each < 128 ? String.valueOf((char) each) : String.format("\\u%04x", each)));
        return result.toString();
    }

    private static String tenant(int index) {
        return index < BEFORE.size() ? BEFORE.get(index) : ADDED.get(index - BEFORE.size());
    }

    private void send(Entry entry, int tenant) throws IOException {
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "r-" + tenant + "-" + number;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), entry.callerPort));
                socket.setSoTimeout(5_000);
                socket.getOutputStream()
                        .write(("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                                        + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-" + tenant
                                        + "\r\nContent-Length: 2\r\n\r\nab")
                                .getBytes(StandardCharsets.ISO_8859_1));
                Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
                run.record.write("client with the key of " + escaped(tenant(tenant)) + " gets "
                        + (head == null ? "no answer" : head.first()) + " for " + id);
            }
        }
    }

    private static String configuration(int version, List<String> tenants) {
        List<String> rows = new ArrayList<>();
        for (String name : tenants) {
            rows.add("{\"name\":\"" + name + "\",\"api-keys\":[\"key-" + rows.size() + "\"],\"priority\":1}");
        }
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-book\",\"host\":\"shop.example\","
                + "\"path-prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout-ms\":2000,\"target-latency-ms\":300,"
                + "\"priority\":2,\"service\":\"shop\",\"max-attempts\":1,\"allow-anonymous\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"health-path\":\"/health\",\"max-connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000},\"tenants\":[" + String.join(",", rows) + "]}";
    }
}
