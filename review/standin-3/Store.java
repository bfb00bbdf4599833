import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store, as PROTOCOL.md tells it. Keeps its whole history. */
final class Store {

    private final HttpServer server;
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
        Thread expiry = new Thread(this::expire, "store-leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item as the operator or a replica does. The return is the acknowledgement. */
    synchronized long put(String key, String value) {
        return put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private long put(String key, String base64, long lease) {
        revision++;
        Map<String, Object> previous = items.get(key);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", base64);
        item.put("revision", revision);
        item.put("created", previous == null ? revision : previous.get("created"));
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) {
            return;
        }
        revision++;
        Map<String, Object> tombstone = new LinkedHashMap<>();
        tombstone.put("key", key);
        tombstone.put("revision", revision);
        tombstone.put("tombstone", true);
        history.add(tombstone);
        notifyAll();
    }

    /** Returns the keys that begin with a prefix. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (Long id : new ArrayList<>(leases.keySet())) {
                    if (leases.get(id)[1] - now < 0) {
                        endLease(id);
                    }
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        for (Map<String, Object> item : new ArrayList<>(items.values())) {
            if (item.get("lease").equals(id)) {
                remove((String) item.get("key"));
            }
        }
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String pair : raw == null ? new String[0] : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Answer answer = answer(exchange.getRequestURI().getPath(), query, body);
            byte[] bytes = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private record Answer(int status, Map<String, Object> body) {}

    @SuppressWarnings("unchecked")
    private Answer answer(String path, Map<String, String> query, String body) throws InterruptedException {
        if (path.equals("/api/kv-watch")) {
            return watch(
                    query.get("path-prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
        }
        synchronized (this) {
            switch (path) {
                case "/api/kv-key" -> {
                    Map<String, Object> item = items.get(query.get("key"));
                    if (item == null) {
                        return new Answer(404, Map.of("current-rev", revision));
                    }
                    Map<String, Object> copy = new LinkedHashMap<>(item);
                    copy.put("current-rev", revision);
                    return new Answer(200, copy);
                }
                case "/api/kv-range" -> {
                    List<Object> found = new ArrayList<>();
                    items.forEach((key, item) -> {
                        if (key.startsWith(query.get("path-prefix"))
                                && key.compareTo(query.getOrDefault("after", "")) > 0) {
                            found.add(item);
                        }
                    });
                    return new Answer(200, Map.of("items", found, "truncated", false, "current-rev", revision));
                }
                case "/api/kv-lease" -> {
                    long ttl = ((Number) Json.object(body).get("ttl-ms")).longValue();
                    leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
                    return new Answer(200, Map.of("lease", lastLease, "ttl-ms", ttl));
                }
                case "/api/kv-txn" -> {
                    return write(Json.object(body));
                }
                default -> {
                    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
                    if (path.startsWith("/api/kv-lease-end/")) {
                        return new Answer(endLease(id) ? 200 : 404, Map.of());
                    }
                    long[] lease = leases.get(id);
                    if (lease == null) {
                        return new Answer(404, Map.of());
                    }
                    lease[1] = System.nanoTime() + lease[0] * 1_000_000;
                    return new Answer(200, Map.of("ttl-ms", lease[0]));
                }
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Answer write(Map<String, Object> transaction) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object element : (List<Object>) transaction.getOrDefault("expected", List.of())) {
            Map<String, Object> row = (Map<String, Object>) element;
            Map<String, Object> item = items.get((String) row.get("key"));
            long found = item == null ? 0 : ((Number) item.get("revision")).longValue();
            holds &= found == ((Number) row.get("revision")).longValue();
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            return new Answer(412, Map.of("items", current));
        }
        for (Object element : (List<Object>) transaction.getOrDefault("writes", List.of())) {
            long lease = ((Number) ((Map<String, Object>) element).getOrDefault("lease", 0L)).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, Map.of());
            }
        }
        for (Object element : (List<Object>) transaction.getOrDefault("writes", List.of())) {
            Map<String, Object> row = (Map<String, Object>) element;
            put(
                    (String) row.get("key"),
                    (String) row.get("value"),
                    ((Number) row.getOrDefault("lease", 0L)).longValue());
        }
        for (Object key : (List<Object>) transaction.getOrDefault("remove", List.of())) {
            remove((String) key);
        }
        return new Answer(200, Map.of("revision", revision));
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Map<String, Object> event : history) {
                if (((Number) event.get("revision")).longValue() > after
                        && ((String) event.get("key")).startsWith(prefix)) {
                    events.add(event);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Answer(200, Map.of("events", events, "current-rev", revision));
            }
            wait(left);
        }
    }
}
