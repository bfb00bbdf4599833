import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it: items, ranges, watches, conditional writes and leases. */
final class Store {

    private final ServerSocket server;
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long revision = 100;
    private long lastLease;

    Store() throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Replica.thread("store", this::accept);
        Replica.thread("lease-ends", this::endLeases);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Replica.thread("store-call", () -> serve(socket));
            }
        } catch (IOException cause) {
            // The store has ended.
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes an item as the operator or a replica does. Returns the revision, which acknowledges it. */
    synchronized long put(String key, Object value) {
        return put(key, Json.write(value).getBytes(StandardCharsets.UTF_8), 0);
    }

    private long put(String key, byte[] value, long lease) {
        revision++;
        Map<String, Object> before = items.get(key);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value));
        item.put("revision", revision);
        item.put("created", before == null ? revision : before.get("created"));
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(Map.of("key", key, "revision", revision, "tombstone", true));
            notifyAll();
        }
    }

    synchronized String value(String key) {
        Map<String, Object> item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode((String) item.get("value")), StandardCharsets.UTF_8);
    }

    synchronized int count(String prefix) {
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private void endLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = leases.entrySet().stream()
                        .filter(lease -> lease.getValue()[1] - now <= 0)
                        .map(Map.Entry::getKey)
                        .toList();
                ended.forEach(this::endLease);
            }
            Run.pause(5);
        }
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        items.values().stream()
                .filter(item -> item.get("lease").equals(id))
                .map(item -> (String) item.get("key"))
                .toList()
                .forEach(this::remove);
        return true;
    }

    private record Response(int status, Object body) {}

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String head = Run.readHead(input);
            while (head != null) {
                String length = Run.header(head, "Content-Length");
                byte[] body = input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                String[] target = head.split(" ")[1].split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
                Response response = respond(target[0], query, body);
                byte[] bytes = Json.write(response.body()).getBytes(StandardCharsets.UTF_8);
                Run.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n" + new String(bytes, StandardCharsets.ISO_8859_1));
                head = Run.readHead(input);
            }
        } catch (IOException | InterruptedException cause) {
            // The caller has closed the connection.
        }
    }

    private Response respond(String path, Map<String, String> query, byte[] body) throws InterruptedException {
        if (path.equals("/api/kv-key")) {
            return key(query.get("key"));
        }
        if (path.equals("/api/kv-range")) {
            return range(query.get("path-prefix"), query.getOrDefault("after", ""));
        }
        if (path.equals("/api/kv-watch")) {
            return watch(query.get("path-prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
        }
        if (path.equals("/api/kv-txn")) {
            return transact(Json.object(body));
        }
        if (path.equals("/api/kv-lease")) {
            return grant((Long) Json.object(body).get("ttl-ms"));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        synchronized (this) {
            long[] lease = leases.get(id);
            if (path.startsWith("/api/kv-keep/") && lease != null) {
                lease[1] = System.nanoTime() + lease[0] * 1_000_000;
                return new Response(200, Map.of("lease", id, "ttl-ms", lease[0]));
            }
            return path.startsWith("/api/kv-lease-end/") && endLease(id)
                    ? new Response(200, Map.of())
                    : new Response(404, Map.of());
        }
    }

    private synchronized Response key(String key) {
        Map<String, Object> item = items.get(key);
        if (item == null) {
            return new Response(404, Map.of("current-rev", revision));
        }
        Map<String, Object> result = new LinkedHashMap<>(item);
        result.put("current-rev", revision);
        return new Response(200, result);
    }

    private synchronized Response range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                found.add(item);
            }
        });
        return new Response(200, Map.of("items", found, "truncated", false, "current-rev", revision));
    }

    private synchronized Response watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Map<String, Object> item : history) {
                if ((Long) item.get("revision") > after && ((String) item.get("key")).startsWith(prefix)) {
                    events.add(item);
                }
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return new Response(200, Map.of("events", events, "current-rev", revision));
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Response transact(Map<String, Object> call) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) call.get("expected")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Map<String, Object> item = items.get(expected.get("key"));
            long actual = item == null ? 0 : (Long) item.get("revision");
            holds &= actual == (Long) expected.get("revision");
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            return new Response(412, Map.of("items", current));
        }
        for (Object row : (List<Object>) call.get("writes")) {
            long lease = (Long) ((Map<String, Object>) row).get("lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Response(404, Map.of());
            }
        }
        for (Object row : (List<Object>) call.get("writes")) {
            Map<String, Object> write = (Map<String, Object>) row;
            put((String) write.get("key"), Base64.getDecoder().decode((String) write.get("value")), (Long) write.get("lease"));
        }
        ((List<Object>) call.getOrDefault("remove", List.of())).forEach(key -> remove((String) key));
        return new Response(200, Map.of("revision", revision));
    }

    private synchronized Response grant(long millis) {
        leases.put(++lastLease, new long[] {millis, System.nanoTime() + millis * 1_000_000});
        return new Response(200, Map.of("lease", lastLease, "ttl-ms", millis));
    }
}
