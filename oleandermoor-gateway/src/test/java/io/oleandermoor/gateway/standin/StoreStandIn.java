package io.oleandermoor.gateway.standin;

import com.fasterxml.jackson.jr.ob.JSON;
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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;

/** In-memory stand-in for the platform's store with items, watches, conditional writes and leases that never expire. */
public final class StoreStandIn implements AutoCloseable {

    private static final long WATCH_POLL_INTERVAL_MILLIS = 10;

    private final HttpServer server;
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long revision = 1;
    private long lastLeaseId;
    private volatile boolean unavailable;
    private volatile boolean watchesSuppressed;
    private long droppedRevision;
    private volatile long leaseDelayMillis;
    private volatile int leaseRequests;

    /** Starts the store on a free loopback port. */
    public StoreStandIn() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(workers);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Returns the address of the store as HOST:PORT. */
    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets whether every request fails with status 503. */
    public void setUnavailable(boolean enabled) {
        unavailable = enabled;
    }

    /** Sets whether watches omit all changes. */
    public void suppressWatches(boolean enabled) {
        watchesSuppressed = enabled;
    }

    /** Drops the history, so that watches from earlier revisions get status 410. */
    public synchronized void dropHistory() {
        history.clear();
        droppedRevision = revision;
    }

    /** Sets the delay of each lease request. */
    public void setLeaseDelay(long millis) {
        leaseDelayMillis = millis;
    }

    /** Returns the number of lease requests received. */
    public int leaseRequests() {
        return leaseRequests;
    }

    /** Returns the value of an item, or an empty string if the item does not exist. */
    public synchronized String value(String key) {
        Map<String, Object> item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(String.valueOf(item.get("value"))), StandardCharsets.UTF_8);
    }

    /** Writes an item unconditionally, as the operator or an instance would. */
    public synchronized void put(String key, String value) {
        revision++;
        Map<String, Object> item = new HashMap<>();
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        item.put("revision", revision);
        items.put(key, item);
        history.add(item);
    }

    /** Removes an item unconditionally, as the end of its writer's lease would. */
    public synchronized void remove(String key) {
        revision++;
        items.remove(key);
        history.add(Map.of("key", key, "tombstone", true, "revision", revision));
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        byte[] body = exchange.getRequestBody().readAllBytes();
        Response response;
        if (unavailable) {
            response = new Response(503, Map.of());
        } else if (path.equals("/api/kv-range")) {
            response = range(query.get("path-prefix"));
        } else if (path.equals("/api/kv-watch")) {
            response = watch(
                    query.get("path-prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
        } else if (path.equals("/api/kv-key")) {
            response = key(query.get("key"));
        } else if (path.equals("/api/kv-txn")) {
            response = write(JSON.std.mapFrom(body));
        } else if (path.equals("/api/kv-lease")) {
            response = lease();
        } else {
            response = new Response(200, Map.of("ttl-ms", 1_000));
        }
        byte[] bytes = JSON.std.asBytes(response.body());
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private Response lease() {
        long leaseId;
        synchronized (this) {
            leaseRequests++;
            leaseId = ++lastLeaseId;
        }
        LockSupport.parkNanos(leaseDelayMillis * 1_000_000);
        return new Response(200, Map.of("lease", leaseId, "ttl-ms", 1_000));
    }

    private record Response(int status, Map<String, Object> body) {}

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            values.put(
                    pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private synchronized Response range(String prefix) {
        List<Object> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.add(item);
            }
        });
        return new Response(200, Map.of("items", found, "truncated", false, "current-rev", revision));
    }

    private Response watch(String prefix, long after, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            synchronized (this) {
                if (after < droppedRevision) {
                    return new Response(410, Map.of());
                }
                List<Object> events = new ArrayList<>();
                for (Map<String, Object> item : watchesSuppressed ? List.<Map<String, Object>>of() : history) {
                    if (((Number) item.get("revision")).longValue() > after
                            && String.valueOf(item.get("key")).startsWith(prefix)) {
                        events.add(item);
                    }
                }
                if (!events.isEmpty() || System.nanoTime() >= end || unavailable) {
                    return new Response(200, Map.of("events", events, "current-rev", revision));
                }
            }
            LockSupport.parkNanos(WATCH_POLL_INTERVAL_MILLIS * 1_000_000);
        }
    }

    private synchronized Response key(String key) {
        Map<String, Object> item = items.get(key);
        return item == null ? new Response(404, Map.of()) : new Response(200, item);
    }

    private synchronized Response write(Map<String, Object> transaction) {
        for (Object element : (List<?>) transaction.get("expected")) {
            Map<?, ?> row = (Map<?, ?>) element;
            Map<String, Object> item = items.get(String.valueOf(row.get("key")));
            long currentRevision = item == null ? 0 : ((Number) item.get("revision")).longValue();
            if (currentRevision != ((Number) row.get("revision")).longValue()) {
                return new Response(412, Map.of("items", List.of()));
            }
        }
        for (Object element : (List<?>) transaction.get("writes")) {
            Map<?, ?> row = (Map<?, ?>) element;
            byte[] value = Base64.getDecoder().decode(String.valueOf(row.get("value")));
            put(String.valueOf(row.get("key")), new String(value, StandardCharsets.UTF_8));
        }
        return new Response(200, Map.of("revision", revision));
    }

    @Override
    public void close() {
        server.stop(0);
        workers.shutdownNow();
    }
}
