package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A model replica: runs streams, carries out orders one at a time, and registers itself in the store. An unload of an
 * adapter in use waits for its runs to finish; until then other orders get 409. A replica that is ordered to load more
 * adapters than it has places for crashes.
 */
public final class Engine extends Http {

    /** An order as it arrived. */
    public record Order(String engine, long millis, String holder, long token, String text, int status) {}

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long REPORT_AGE_MILLIS = 200;
    private static final long ADAPTER_MILLIS = 8;

    private final String id;
    private final String service;
    private final Store store;
    private final long born = System.currentTimeMillis();
    private final Map<String, Set<String>> models = new TreeMap<>();
    private final Map<String, Integer> running = new TreeMap<>();
    private final Set<String> leavingAdapters = new TreeSet<>();
    private final int events;
    private final long eventMillis;
    private volatile boolean crashed;
    private volatile String crashCause = "";
    private final List<Map<String, Object>> reports = new ArrayList<>();
    private final List<Long> reportMillis = new ArrayList<>();
    private final long loadMillis;
    private final int adapterSlots;
    private long sequence;
    private long beats;
    private boolean busy;
    private int active;
    private final List<Order> orders = new CopyOnWriteArrayList<>();

    public Engine(
            Record record,
            Store store,
            String id,
            String service,
            long loadMillis,
            int adapterSlots,
            int events,
            long eventMillis,
            String... held)
            throws IOException {
        super(record);
        this.events = events;
        this.eventMillis = eventMillis;
        this.store = store;
        this.id = id;
        this.service = service;
        this.loadMillis = loadMillis;
        this.adapterSlots = adapterSlots;
        for (String model : held) {
            models.put(model, new TreeSet<>());
        }
        saveReport();
    }

    public List<Order> orders() {
        return orders;
    }

    /** Returns why the replica crashed, empty if it runs. */
    public String crashCause() {
        return crashCause;
    }

    private void crash(String cause) {
        crashCause = cause;
        crashed = true;
        record.tell("replica %s crashes: %s; %d runs are lost", id, cause, active);
        daemon(() -> {
            try {
                close();
            } catch (IOException exception) {
                // It has ended.
            }
        });
    }

    @Override
    public void start() {
        super.start();
        daemon(() -> {
            while (!crashed) {
                register();
                sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    private void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        synchronized (this) {
            entry.put("service", service);
            entry.put("address", address());
            entry.put("zone", "zone-a");
            entry.put("version", 1);
            entry.put("slots", 16);
            entry.put("state", "ready");
            entry.put("cold-remaining-ms", 0);
            entry.put("sequence", ++beats);
            entry.put("born", born);
            entry.put("phase", "colocated");
            entry.put("models", modelList());
        }
        store.put("servers/" + id, Json.write(entry));
    }

    private List<Object> modelList() {
        List<Object> list = new ArrayList<>();
        models.forEach((model, adapters) -> {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", model);
            entry.put("version", 1);
            entry.put("adapters", new ArrayList<>(adapters));
            list.add(entry);
        });
        return list;
    }

    /** Keeps what a report says now; a report shows the state of some hundred milliseconds ago. */
    private synchronized void saveReport() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("phase", "colocated");
        report.put("models", modelList());
        report.put("busy", busy);
        report.put("sequence", sequence);
        report.put("queued", 0);
        report.put("active", active);
        report.put("kv-used", 0);
        report.put("kv-total", 90000);
        report.put("handles", 0);
        reports.add(report);
        reportMillis.add(record.millis());
    }

    private synchronized String report() {
        long limit = record.millis() - REPORT_AGE_MILLIS;
        int index = reports.size() - 1;
        while (index > 0 && reportMillis.get(index) > limit) {
            index--;
        }
        return Json.write(reports.get(index));
    }

    @Override
    protected boolean handle(Request request, Socket socket) throws IOException {
        String echo = "Request-Id: " + request.header("request-id") + "\r\n";
        String target = request.header("target-instance");
        if (!target.isEmpty() && !target.equals(id)) {
            answer(socket, 421, echo + "Not-Executed: 1\r\n", "");
            return true;
        }
        if (request.path().equals("/api/report")) {
            answer(socket, 200, echo + "Content-Type: application/json\r\n", report());
            return true;
        }
        if (request.path().equals("/api/order")) {
            answer(socket, order(request), echo, "");
            return true;
        }
        return run(request, socket, echo);
    }

    private int order(Request request) {
        Map<String, Object> fields = Json.object(request.text());
        String operation = String.valueOf(fields.get("operation"));
        String model = String.valueOf(fields.get("model"));
        String adapter = fields.get("adapter") == null ? "" : String.valueOf(fields.get("adapter"));
        Object expected = fields.get("expected");
        int status = carryOut(operation, model, adapter, expected == null ? -1 : ((Number) expected).longValue());
        Order order = new Order(
                id,
                record.millis(),
                String.valueOf(fields.get("holder")),
                ((Number) fields.get("fencing-token")).longValue(),
                operation + " " + model + (adapter.isEmpty() ? "" : "/" + adapter),
                status);
        orders.add(order);
        record.write(
                "order replica=%s holder=%s token=%d %s -> %d",
                id, order.holder(), order.token(), order.text(), order.status());
        return status;
    }

    private synchronized int carryOut(String operation, String model, String adapter, long expected) {
        boolean load = operation.equals("model_load");
        boolean holds = adapter.isEmpty()
                ? models.containsKey(model)
                : models.getOrDefault(model, Set.of()).contains(adapter);
        if (busy || !leavingAdapters.isEmpty() || (expected >= 0 && expected != sequence)) {
            return 409;
        }
        if (load == holds) {
            sequence++;
            saveReport();
            return 200;
        }
        if (!adapter.isEmpty() && !models.containsKey(model)) {
            return 400;
        }
        sequence++;
        if (!adapter.isEmpty()) {
            if (load) {
                int count = models.values().stream().mapToInt(Set::size).sum();
                if (count >= adapterSlots) {
                    crash("ordered to load " + model + "/" + adapter + " while its places hold " + models);
                    return 202;
                }
                models.get(model).add(adapter);
            } else if (running.getOrDefault(model + "/" + adapter, 0) > 0) {
                leavingAdapters.add(model + "/" + adapter);
                saveReport();
                return 202;
            } else {
                models.get(model).remove(adapter);
            }
            saveReport();
            return load ? 202 : 200;
        }
        busy = true;
        saveReport();
        daemon(() -> {
            sleep(load ? loadMillis : ADAPTER_MILLIS);
            synchronized (this) {
                if (load) {
                    models.put(model, new TreeSet<>());
                } else {
                    models.remove(model);
                }
                busy = false;
                saveReport();
            }
            register();
        });
        return 202;
    }

    /** Runs a request as a stream of events. */
    private boolean run(Request request, Socket socket, String echo) throws IOException {
        String[] target = request.header("model").split("/");
        synchronized (this) {
            boolean holds = models.containsKey(target[0])
                    && (target.length == 1 || models.get(target[0]).contains(target[1]));
            boolean leaving = leavingAdapters.contains(request.header("model"));
            if (!holds || leaving) {
                record.write("replica %s declines %s: no %s", id, request.header("request-id"), request.header("model"));
                answer(socket, leaving ? 503 : 421, echo + "Not-Executed: 1\r\n", "");
                return true;
            }
            active++;
            running.merge(request.header("model"), 1, Integer::sum);
        }
        record.write("run replica=%s id=%s %s %s", id, request.header("request-id"), request.method(), request.uri());
        try {
            OutputStream output = socket.getOutputStream();
            output.write(("HTTP/1.1 200 OK\r\n" + echo + "Response-Stamp: s-" + id + "\r\nWeight-Versions: 1\r\n"
                            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            int first = request.header("last-event-id").isEmpty()
                    ? 1
                    : Integer.parseInt(request.header("last-event-id")) + 1;
            for (int event = first; event <= events; event++) {
                String text = "id: " + event + "\ndata: " + event + "\n\n";
                output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                output.flush();
                sleep(eventMillis);
            }
            output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            output.flush();
        } finally {
            synchronized (this) {
                active--;
                if (running.merge(request.header("model"), -1, Integer::sum) == 0
                        && leavingAdapters.remove(request.header("model"))) {
                    models.get(target[0]).remove(target[1]);
                    saveReport();
                }
            }
        }
        return true;
    }
}
