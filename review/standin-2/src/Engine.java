import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A sound model replica with one model, m0, that loads and unloads adapters by order and streams events. */
final class Engine {

    private static final int ADAPTER_SLOTS = 8;
    private static final int EVENTS = 4;
    private static final int EVENT_INTERVAL_MILLIS = 25;
    private static final int HEARTBEAT_MILLIS = 1_200;

    /** An order that has arrived. */
    record Arrival(long millis, String holder, long token, int status) {}

    private final Run run;
    private final Replica replica;
    private final Set<String> adapters = new HashSet<>();
    private final Map<String, Integer> users = new HashMap<>();
    private long sequence;
    private long heartbeats;
    /** The adapter whose unload waits for its runs; empty if none. */
    private String leaving = "";

    final List<Arrival> arrivals = new ArrayList<>();

    Engine(Run run, Store store, String id, String zone) throws IOException {
        this.run = run;
        replica = new Replica(run, store, id, "llm", zone, this::work) {
            @Override
            Map<String, Object> description() {
                Map<String, Object> fields = super.description();
                fields.put("phase", "colocated");
                synchronized (Engine.this) {
                    fields.put("models", models());
                    fields.put("sequence", ++heartbeats);
                }
                return fields;
            }
        };
        Replica.thread("heartbeat-" + id, () -> {
            while (true) {
                replica.register();
                Run.pause(HEARTBEAT_MILLIS);
            }
        });
    }

    String id() {
        return replica.id;
    }

    private synchronized List<Object> models() {
        Map<String, Object> model = new LinkedHashMap<>();
        model.put("name", "m0");
        model.put("version", 1L);
        model.put("adapters", new ArrayList<>(adapters));
        return List.of(model);
    }

    private void work(Replica.Request request, OutputStream output) throws IOException {
        if (request.path().equals("/api/report")) {
            Map<String, Object> report = new LinkedHashMap<>();
            synchronized (this) {
                report.put("phase", "colocated");
                report.put("models", models());
                report.put("busy", false);
                report.put("sequence", sequence);
                report.put("queued", 0L);
                report.put("active", (long) users.values().stream().mapToInt(Integer::intValue).sum());
                report.put("kv-used", 0L);
                report.put("kv-total", 158_517L);
                report.put("handles", 0L);
            }
            Replica.answer(output, request, 200, Json.write(report).getBytes());
        } else if (request.path().equals("/api/order")) {
            Replica.answer(output, request, order(Json.object(request.body())), "{}".getBytes());
        } else {
            stream(request, output);
        }
    }

    private synchronized int order(Map<String, Object> order) {
        int status = carryOut(order);
        Arrival arrival =
                new Arrival(run.millis(), (String) order.get("holder"), (Long) order.get("fencing-token"), status);
        arrivals.add(arrival);
        run.log(
                "%s gets %s of m0/%s from %s with token %d: %d",
                id(), order.get("operation"), order.get("adapter"), arrival.holder(), arrival.token(), status);
        return status;
    }

    private int carryOut(Map<String, Object> order) {
        String adapter = (String) order.getOrDefault("adapter", "");
        if (adapter.isEmpty() || !order.get("model").equals("m0")) {
            return 400;
        }
        if (!leaving.isEmpty() || (order.containsKey("expected") && (Long) order.get("expected") != sequence)) {
            return 409;
        }
        if (order.get("operation").equals("model_load")) {
            if (adapters.contains(adapter)) {
                return 200;
            }
            if (adapters.size() >= ADAPTER_SLOTS) {
                run.log("%s is ordered to load more than its slots hold", id());
                return 409;
            }
            adapters.add(adapter);
            sequence++;
            return 202;
        }
        if (!adapters.contains(adapter)) {
            return 200;
        }
        sequence++;
        if (users.getOrDefault(adapter, 0) == 0) {
            adapters.remove(adapter);
            return 200;
        }
        leaving = adapter;
        return 202;
    }

    private void stream(Replica.Request request, OutputStream output) throws IOException {
        String model = Run.header(request.head(), "Model");
        String adapter = model.contains("/") ? model.substring(model.indexOf('/') + 1) : "";
        synchronized (this) {
            if (!adapter.isEmpty() && (!adapters.contains(adapter) || adapter.equals(leaving))) {
                Run.write(output, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id()
                        + "\r\nInstance-Id: " + id() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            users.merge(adapter, 1, Integer::sum);
        }
        try {
            Run.write(output, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nResponse-Stamp: s."
                    + request.id() + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= EVENTS; event++) {
                Run.pause(EVENT_INTERVAL_MILLIS);
                String text = "id: " + event + "\ndata: x\n\n";
                Run.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            Run.write(output, "0\r\n\r\n");
        } finally {
            synchronized (this) {
                users.merge(adapter, -1, Integer::sum);
                if (adapter.equals(leaving) && !adapter.isEmpty() && users.get(adapter) == 0) {
                    adapters.remove(adapter);
                    leaving = "";
                }
            }
        }
    }
}
