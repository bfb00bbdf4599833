package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, watches, conditional writes and leases, as PROTOCOL.md describes them. */
public final class Store extends Http {

    /** Decides what becomes of the answer to a call that has been carried out. */
    public interface Trouble {

        /** Returns whether the answer is lost; the connection then returns nothing further. */
        boolean loses(Request request, int status);
    }

    private record Lease(long ttlMillis, long endMillis) {}

    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long lastLease = 100;
    private volatile Trouble trouble = (request, status) -> false;

    public Store(Record record) throws IOException {
        super(record);
        daemon(this::expireLeases);
    }

    public void setTrouble(Trouble trouble) {
        this.trouble = trouble;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = record.millis();
                for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
                    if (now >= entry.getValue().endMillis()) {
                        endLease(entry.getKey());
                    }
                }
            }
            sleep(5);
        }
    }

    private synchronized boolean endLease(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (((Number) item.get("lease")).longValue() == lease) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
        return true;
    }

    /** Writes an item, as the operator or a replica does. */
    public synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private synchronized long put(String key, byte[] value, long lease) {
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

    public synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("key", key);
            event.put("revision", revision);
            event.put("tombstone", true);
            history.add(event);
            notifyAll();
        }
    }

    @Override
    protected boolean handle(Request request, Socket socket) throws IOException {
        return respond(request, socket, Map.of());
    }

    /**
     * Carries out a call and answers it.
     *
     * @param addresses the addresses to name in place of those that replicas have registered
     */
    boolean respond(Request request, Socket socket, Map<String, String> addresses) throws IOException {
        Answer answer = answerTo(request);
        if (!request.path().equals("/api/kv-watch") && !request.path().startsWith("/api/kv-keep")) {
            record.write(
                    "store %s %s %s -> %d", request.method(), request.uri(), summary(request), answer.status());
        }
        if (trouble.loses(request, answer.status())) {
            record.write("store answer lost: %s", request.uri());
            sleep(120_000);
            return false;
        }
        answer(socket, answer.status(), "Content-Type: application/json\r\n", Json.write(replaceAddresses(answer.body(), addresses)));
        return true;
    }

    private static Map<String, Object> replaceAddresses(Map<String, Object> body, Map<String, String> addresses) {
        Map<String, Object> replaced = new LinkedHashMap<>(body);
        for (String field : List.of("items", "events")) {
            if (body.get(field) instanceof List<?> rows && !addresses.isEmpty()) {
                List<Object> newRows = new ArrayList<>();
                for (Object row : rows) {
                    Map<String, Object> item = new LinkedHashMap<>();
                    ((Map<?, ?>) row).forEach((key, value) -> item.put(String.valueOf(key), value));
                    if (item.get("value") instanceof String value
                            && String.valueOf(item.get("key")).startsWith("servers/")) {
                        String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
                        for (Map.Entry<String, String> entry : addresses.entrySet()) {
                            text = text.replace(entry.getKey() + "\"", entry.getValue() + "\"");
                        }
                        item.put("value", Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
                    }
                    newRows.add(item);
                }
                replaced.put(field, newRows);
            }
        }
        return replaced;
    }

    private static String summary(Request request) {
        if (!request.path().equals("/api/kv-txn")) {
            return request.text();
        }
        List<String> keys = new ArrayList<>();
        for (Object row : (List<?>) Json.object(request.text()).get("writes")) {
            Map<?, ?> write = (Map<?, ?>) row;
            keys.add(write.get("key") + "=" + new String(Base64.getDecoder().decode((String) write.get("value"))));
        }
        return keys.toString();
    }

    private record Answer(int status, Map<String, Object> body) {}

    private Answer answerTo(Request request) {
        Map<String, String> query = request.query();
        String path = request.path();
        sleep(4);
        if (path.equals("/api/kv-range")) {
            return range(query.get("path-prefix"));
        }
        if (path.equals("/api/kv-watch")) {
            return watch(
                    query.get("path-prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
        }
        synchronized (this) {
            if (path.equals("/api/kv-key")) {
                Map<String, Object> item = items.get(query.get("key"));
                if (item == null) {
                    return new Answer(404, Map.of("current-rev", revision));
                }
                Map<String, Object> body = new LinkedHashMap<>(item);
                body.put("current-rev", revision);
                return new Answer(200, body);
            }
            if (path.equals("/api/kv-txn")) {
                return write(Json.object(request.text()));
            }
            if (path.equals("/api/kv-lease")) {
                long ttl = ((Number) Json.object(request.text()).get("ttl-ms")).longValue();
                leases.put(++lastLease, new Lease(ttl, record.millis() + ttl));
                return new Answer(200, Map.of("lease", lastLease, "ttl-ms", ttl));
            }
            long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            if (path.startsWith("/api/kv-keep/")) {
                Lease known = leases.get(lease);
                if (known == null) {
                    return new Answer(404, Map.of());
                }
                leases.put(lease, new Lease(known.ttlMillis(), record.millis() + known.ttlMillis()));
                return new Answer(200, Map.of("lease", lease, "ttl-ms", known.ttlMillis()));
            }
            return new Answer(endLease(lease) ? 200 : 404, Map.of());
        }
    }

    private synchronized Answer range(String prefix) {
        List<Object> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.add(item);
            }
        });
        return new Answer(200, Map.of("items", found, "truncated", false, "current-rev", revision));
    }

    private synchronized Answer watch(String prefix, long after, long waitMillis) {
        long end = record.millis() + waitMillis;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int index = history.size() - 1; index >= 0; index--) {
                Map<String, Object> event = history.get(index);
                if (((Number) event.get("revision")).longValue() <= after) {
                    break;
                }
                if (String.valueOf(event.get("key")).startsWith(prefix)) {
                    events.add(0, event);
                }
            }
            long left = end - record.millis();
            if (!events.isEmpty() || left <= 0) {
                return new Answer(200, Map.of("events", events, "current-rev", revision));
            }
            try {
                wait(left);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return new Answer(503, Map.of());
            }
        }
    }

    private Answer write(Map<String, Object> transaction) {
        List<Object> differing = new ArrayList<>();
        boolean holds = true;
        for (Object element : (List<?>) transaction.get("expected")) {
            Map<?, ?> row = (Map<?, ?>) element;
            Map<String, Object> item = items.get(String.valueOf(row.get("key")));
            long current = item == null ? 0 : ((Number) item.get("revision")).longValue();
            holds &= current == ((Number) row.get("revision")).longValue();
            if (item != null) {
                differing.add(item);
            }
        }
        if (!holds) {
            return new Answer(412, Map.of("items", differing));
        }
        for (Object element : (List<?>) transaction.get("writes")) {
            long lease = ((Number) ((Map<?, ?>) element).get("lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, Map.of());
            }
        }
        for (Object element : (List<?>) transaction.get("writes")) {
            Map<?, ?> row = (Map<?, ?>) element;
            put(
                    String.valueOf(row.get("key")),
                    Base64.getDecoder().decode(String.valueOf(row.get("value"))),
                    ((Number) row.get("lease")).longValue());
        }
        for (Object key : (List<?>) transaction.get("remove")) {
            remove(String.valueOf(key));
        }
        return new Answer(200, Map.of("revision", revision));
    }
}
