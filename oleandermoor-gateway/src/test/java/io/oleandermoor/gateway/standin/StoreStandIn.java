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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * In-memory stand-in for the platform's store with items, watches, conditional writes and leases. It can be restored
 * from a copy: writes and leases since the copy are lost, and their revisions and identifiers are assigned again.
 */
public final class StoreStandIn implements AutoCloseable {

    private static final long WATCH_POLL_INTERVAL_MILLIS = 10;

    private final HttpServer server;
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final TreeMap<Long, Lease> leases = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long revision = 1;
    private long lastLeaseId;
    private volatile boolean unavailable;
    private volatile boolean watchesSuppressed;
    private long droppedRevision;
    private volatile long leaseDelayMillis;
    private volatile int leaseRequests;
    private final AtomicInteger refusedWrites = new AtomicInteger();
    private Copy copy = new Copy(Map.of(), Map.of(), List.of(), 1, 0);
    /** The stated era; 0 for none. */
    private volatile long era;

    private volatile boolean eraOmitted;
    private volatile boolean endedLeasesRefused;
    private volatile boolean writesHeld;
    private volatile int heldWrites;
    private volatile DoubleSupplier lossRate = () -> 0;
    private volatile Supplier<CallFault> callFaults = () -> CallFault.NONE;

    private record Lease(long timeToLiveMillis, long endNanos) {

        Lease renewed() {
            return new Lease(timeToLiveMillis, System.nanoTime() + timeToLiveMillis * 1_000_000);
        }
    }

    private record Copy(
            Map<String, Map<String, Object>> items,
            Map<Long, Lease> leases,
            List<Map<String, Object>> history,
            long revision,
            long lastLeaseId) {}

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
    public synchronized void setUnavailable(boolean enabled) {
        // A store that is away ends no leases.
        if (unavailable && !enabled) {
            leases.replaceAll((id, lease) -> lease.renewed());
        }
        unavailable = enabled;
    }

    /** Returns the number of writes and leases that were refused because the store is unavailable. */
    public int refusedWrites() {
        return refusedWrites.get();
    }

    /** Makes the store available again after an outage in which leases went on to run out. */
    public synchronized void endOutageWithExpiredLeases() {
        unavailable = false;
        endLeases();
    }

    /** Sets the era that all answers state. */
    public void setEra(long number) {
        era = number;
    }

    /** Sets whether a write that names a lease which does not exist gets status 404. */
    public void refuseEndedLeases(boolean enabled) {
        endedLeasesRefused = enabled;
    }

    /** Sets whether answers omit the era. */
    public void omitEra(boolean enabled) {
        eraOmitted = enabled;
    }

    /** Sets whether conditional writes wait before they are carried out; they are when it is reset. */
    public void holdWrites(boolean enabled) {
        writesHeld = enabled;
    }

    /** Returns the number of conditional writes that wait. */
    public int heldWrites() {
        return heldWrites;
    }

    /**
     * Sets the probability with which a conditional write is carried out and its connection then ends without an
     * answer; asked for each write.
     */
    public void loseAnswers(DoubleSupplier rate) {
        lossRate = rate;
    }

    /** Sets what happens to calls; asked for each call, on any thread. */
    public void disturbCalls(Supplier<CallFault> faults) {
        callFaults = faults;
    }

    /** Loses the answer of the next conditional write. */
    public void loseNextWriteAnswer() {
        AtomicBoolean pending = new AtomicBoolean(true);
        loseAnswers(() -> pending.getAndSet(false) ? 1 : 0);
    }

    /** Takes the copy from which the store is restored. */
    public synchronized void takeCopy() {
        endLeases();
        copy = new Copy(Map.copyOf(items), Map.copyOf(leases), List.copyOf(history), revision, lastLeaseId);
    }

    /** Restores the store from its copy, in a new era. */
    public synchronized void restore() {
        items.clear();
        items.putAll(copy.items());
        leases.clear();
        copy.leases().forEach((id, lease) -> leases.put(id, lease.renewed()));
        history.clear();
        history.addAll(copy.history());
        revision = copy.revision();
        lastLeaseId = copy.lastLeaseId();
        era++;
    }

    /** Returns the identifier of the lease of an item; 0 if it has none or does not exist. */
    public synchronized long leaseOf(String key) {
        endLeases();
        Map<String, Object> item = items.get(key);
        return item == null ? 0 : ((Number) item.getOrDefault("lease", 0L)).longValue();
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
        endLeases();
        Map<String, Object> item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(String.valueOf(item.get("value"))), StandardCharsets.UTF_8);
    }

    /** Returns the keys of all items under a prefix. */
    public synchronized List<String> keys(String prefix) {
        endLeases();
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Writes an item unconditionally, as the operator or an instance would. */
    public synchronized void put(String key, String value) {
        put(key, value, 0);
    }

    private void put(String key, String value, long lease) {
        revision++;
        Map<String, Object> item = new HashMap<>();
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        item.put("revision", revision);
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
    }

    /** Removes an item unconditionally, as the end of its writer's lease would. */
    public synchronized void remove(String key) {
        revision++;
        items.remove(key);
        history.add(Map.of("key", key, "tombstone", true, "revision", revision));
    }

    /** Ends the leases whose time is over, and removes their items. */
    private void endLeases() {
        if (unavailable) {
            return;
        }
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream()
                .filter(lease -> lease.getValue().endNanos() - now <= 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        items.values().stream()
                .filter(item -> item.get("lease").equals(id))
                .map(item -> String.valueOf(item.get("key")))
                .toList()
                .forEach(this::remove);
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        byte[] body = exchange.getRequestBody().readAllBytes();
        CallFault fault = callFaults.get();
        pause(fault.executionDelayMillis());
        if (unavailable && (path.equals("/api/kv-txn") || path.equals("/api/kv-lease"))) {
            refusedWrites.incrementAndGet();
        }
        Response response = unavailable ? respond(503, Map.of()) : carryOut(path, query, body);
        pause(fault.answerDelayMillis());
        boolean writeLost =
                path.equals("/api/kv-txn") && ThreadLocalRandom.current().nextDouble() < lossRate.getAsDouble();
        if (writeLost || fault.answerLost()) {
            exchange.close();
            return;
        }
        byte[] bytes = JSON.std.asBytes(response.body());
        if (response.era() > 0 && !eraOmitted) {
            exchange.getResponseHeaders().set("Store-Era", Long.toString(response.era()));
        }
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private Response carryOut(String path, Map<String, String> query, byte[] body) throws IOException {
        return switch (path) {
            case "/api/kv-range" -> range(query.get("path-prefix"));
            case "/api/kv-watch" ->
                watch(
                        query.get("path-prefix"),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait-ms")));
            case "/api/kv-key" -> key(query.get("key"));
            case "/api/kv-txn" -> {
                awaitRelease();
                yield write(JSON.std.mapFrom(body));
            }
            case "/api/kv-lease" -> lease(((Number) JSON.std.mapFrom(body).get("ttl-ms")).longValue());
            default -> useLease(path);
        };
    }

    private static void pause(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = end - System.nanoTime();
                left > 0 && !Thread.currentThread().isInterrupted();
                left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private void awaitRelease() {
        if (writesHeld) {
            heldWrites++;
            while (writesHeld) {
                LockSupport.parkNanos(WATCH_POLL_INTERVAL_MILLIS * 1_000_000);
            }
        }
    }

    private Response lease(long timeToLiveMillis) {
        Response response;
        synchronized (this) {
            leaseRequests++;
            long leaseId = ++lastLeaseId;
            leases.put(leaseId, new Lease(timeToLiveMillis, 0).renewed());
            response = respond(200, Map.of("lease", leaseId, "ttl-ms", timeToLiveMillis));
        }
        LockSupport.parkNanos(leaseDelayMillis * 1_000_000);
        return response;
    }

    /** Renews or ends the lease that the path names. */
    private synchronized Response useLease(String path) {
        endLeases();
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        boolean found = path.startsWith("/api/kv-lease-end/")
                ? endLease(id)
                : leases.computeIfPresent(id, (key, lease) -> lease.renewed()) != null;
        return respond(found ? 200 : 404, Map.of());
    }

    private record Response(int status, Map<String, Object> body, long era) {}

    private Response respond(int status, Map<String, Object> body) {
        return new Response(status, body, era);
    }

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
        endLeases();
        List<Object> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.add(item);
            }
        });
        return respond(200, Map.of("items", found, "truncated", false, "current-rev", revision));
    }

    private Response watch(String prefix, long after, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            synchronized (this) {
                endLeases();
                if (after < droppedRevision || after > revision) {
                    return respond(410, Map.of());
                }
                List<Object> events = new ArrayList<>();
                for (Map<String, Object> item : watchesSuppressed ? List.<Map<String, Object>>of() : history) {
                    if (((Number) item.get("revision")).longValue() > after
                            && String.valueOf(item.get("key")).startsWith(prefix)) {
                        events.add(item);
                    }
                }
                if (!events.isEmpty() || System.nanoTime() >= end || unavailable) {
                    return respond(200, Map.of("events", events, "current-rev", revision));
                }
            }
            LockSupport.parkNanos(WATCH_POLL_INTERVAL_MILLIS * 1_000_000);
        }
    }

    private synchronized Response key(String key) {
        endLeases();
        Map<String, Object> item = items.get(key);
        return item == null ? respond(404, Map.of()) : respond(200, item);
    }

    private synchronized Response write(Map<String, Object> transaction) {
        endLeases();
        for (Object element : (List<?>) transaction.get("expected")) {
            Map<?, ?> row = (Map<?, ?>) element;
            Map<String, Object> item = items.get(String.valueOf(row.get("key")));
            long currentRevision = item == null ? 0 : ((Number) item.get("revision")).longValue();
            if (currentRevision != ((Number) row.get("revision")).longValue()) {
                return respond(412, Map.of("items", List.of()));
            }
        }
        for (Object element : (List<?>) transaction.get("writes")) {
            long lease = ((Number) ((Map<?, ?>) element).get("lease")).longValue();
            if (endedLeasesRefused && lease != 0 && !leases.containsKey(lease)) {
                return respond(404, Map.of());
            }
        }
        for (Object element : (List<?>) transaction.get("writes")) {
            Map<?, ?> row = (Map<?, ?>) element;
            byte[] value = Base64.getDecoder().decode(String.valueOf(row.get("value")));
            put(
                    String.valueOf(row.get("key")),
                    new String(value, StandardCharsets.UTF_8),
                    ((Number) row.get("lease")).longValue());
        }
        return respond(200, Map.of("revision", revision));
    }

    @Override
    public void close() {
        server.stop(0);
        workers.shutdownNow();
    }
}
