import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A new version of the configuration no longer lists a model that a replica still holds, and another one is asked for. */
public final class RetiredModel {

    private static final double MODEL_MEGABYTES = 72_700;
    private static final double REPLICA_MEGABYTES = 200_000;
    private static final long LOAD_MILLIS = 5_800;
    private static final long PLAYED_MILLIS = 15_000;
    private static final int EVENTS = 20;
    private static final int EVENT_INTERVAL_MILLIS = 100;

    private static volatile boolean ended;

    private final Run run;
    private final Replica replica;
    private final Set<String> held = new LinkedHashSet<>(List.of("m0", "m1"));
    private boolean busy;
    private long sequence;
    private long heartbeats;
    private volatile boolean overloaded;

    private RetiredModel(Run run, Store store) throws IOException {
        this.run = run;
        replica = new Replica(run, store, "i-llm1", "llm", "aber-a", this::work) {
            @Override
            Map<String, Object> description() {
                Map<String, Object> fields = super.description();
                synchronized (RetiredModel.this) {
                    fields.put("phase", "colocated");
                    fields.put("models", models());
                    fields.put("sequence", ++heartbeats);
                }
                return fields;
            }
        };
        Replica.thread("heartbeat", () -> {
            while (!overloaded) {
                replica.register();
                Run.pause(1_200);
            }
        });
    }

    public static void main(String[] arguments) {
        int code = Run.NOT_RUN;
        try (Run run = new Run(arguments[0], arguments[1])) {
            code = play(run);
        } catch (IOException cause) {
            cause.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Run run) throws IOException {
        Store store = new Store();
        RetiredModel engine = new RetiredModel(run, store);
        store.put("op/config", config(7, "m0", "m1"));
        Run.Entry entry = run.entry("edge-aber-a-1", "aber-a", store);
        entry.start();
        entry.awaitReady();
        for (int caller = 0; caller < 4; caller++) {
            int number = caller;
            Replica.thread("caller-m0", () -> call(run, entry.callerPort, "m0", number));
        }
        Run.pause(5_000);
        // m2 is new. The disruption is that m1 is not listed any more.
        store.put("op/config", run.trouble ? config(8, "m0", "m2") : config(8, "m0", "m1", "m2"));
        run.log("version 8 is acknowledged: it lists %s", run.trouble ? "m0 and m2" : "m0, m1 and m2");
        // Longer than config-apply-ms.
        Run.pause(3_000);
        run.log("m2 is asked for");
        Replica.thread("caller-m2", () -> call(run, entry.callerPort, "m2", 9));
        Run.pause(PLAYED_MILLIS);
        ended = true;
        Run.pause(3_000);
        entry.quoteLog("event=order", "event=configuration");
        synchronized (engine) {
            run.log("the replica holds %s", engine.held);
            if (!engine.overloaded && !engine.held.contains("m2")) {
                return Run.NOT_RUN;
            }
            return engine.overloaded ? Run.BROKEN : Run.HELD;
        }
    }

    private static Map<String, Object> config(long version, String... names) {
        List<Object> models = new ArrayList<>();
        for (String name : names) {
            Map<String, Object> model = new LinkedHashMap<>();
            model.put("name", name);
            model.put("weights-mb", MODEL_MEGABYTES);
            model.put("load-time-s", LOAD_MILLIS / 1_000.0);
            model.put("adapters", 0L);
            model.put("adapter-mb", 66.0);
            models.add(model);
        }
        Map<String, Object> config = Config.of(version);
        List<Object> services = new ArrayList<>((List<?>) config.get("services"));
        Map<String, Object> llm = new LinkedHashMap<>();
        ((Map<?, ?>) services.get(0)).forEach((name, value) -> llm.put((String) name, value));
        Map<String, Object> engine = Config.engine();
        engine.put("weights-mb", REPLICA_MEGABYTES);
        engine.put("models", models);
        llm.put("engine", engine);
        services.set(0, llm);
        config.put("services", services);
        return config;
    }

    private synchronized List<Object> models() {
        List<Object> list = new ArrayList<>();
        for (String name : held) {
            Map<String, Object> model = new LinkedHashMap<>();
            model.put("name", name);
            model.put("version", 1L);
            model.put("adapters", List.of());
            list.add(model);
        }
        return list;
    }

    private void work(Replica.Request request, OutputStream output) throws IOException {
        if (request.path().equals("/api/report")) {
            Map<String, Object> report = new LinkedHashMap<>();
            synchronized (this) {
                report.put("phase", "colocated");
                report.put("models", models());
                report.put("busy", busy);
                report.put("sequence", sequence);
                report.put("queued", 0L);
                report.put("active", 0L);
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
        String model = (String) order.get("model");
        boolean load = order.get("operation").equals("model_load");
        int status = 202;
        if (busy || (order.containsKey("expected") && (Long) order.get("expected") != sequence)) {
            status = 409;
        } else if (held.contains(model) == load) {
            status = 200;
        }
        run.log("the replica, with %s, gets %s of %s: %d", held, order.get("operation"), model, status);
        if (status == 202) {
            sequence++;
            if (load && (held.size() + 1) * MODEL_MEGABYTES > REPLICA_MEGABYTES) {
                overloaded = true;
                run.log("it is ordered to load more than its %.0f MB hold, and crashes", REPLICA_MEGABYTES);
                Replica.thread("crash", replica::crash);
                return status;
            }
            busy = true;
            Replica.thread("order", () -> {
                Run.pause(load ? LOAD_MILLIS : 300);
                synchronized (this) {
                    if (load) {
                        held.add(model);
                    } else {
                        held.remove(model);
                    }
                    busy = false;
                }
                replica.register();
            });
        }
        return status;
    }

    private void stream(Replica.Request request, OutputStream output) throws IOException {
        synchronized (this) {
            if (!held.contains(Run.header(request.head(), "Model"))) {
                Run.write(output, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id()
                        + "\r\nInstance-Id: i-llm1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
        }
        run.log("the replica runs %s", request.id());
        Run.write(output, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nResponse-Stamp: s." + request.id()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Run.pause(EVENT_INTERVAL_MILLIS);
            String text = "id: " + event + "\ndata: abc\n\n";
            Run.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        Run.write(output, "0\r\n\r\n");
    }

    private static void call(Run run, int port, String model, int caller) {
        int answered = 0;
        int cutOff = 0;
        for (int number = 0; !ended; number++) {
            String id = model + "-" + caller + "-" + number;
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(13_000);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                Run.write(
                        socket.getOutputStream(),
                        "POST /live/x HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id + "\r\nModel: "
                                + model + "\r\nToken-Count: 50,6\r\nPrompt-Prefix: ab:50\r\nDeadline-Ms: 12000\r\nContent-Length: 4\r\nConnection: close\r\nAuthorization: Token "
                                + Config.KEY + "\r\n\r\nabcd");
                String head = Run.readHead(input);
                if (head == null || !head.contains(" 200 ")) {
                    run.log("%s sent, answered %s", id, head == null ? "by a closed connection" : head.split(" ")[1]);
                } else {
                    boolean whole = new String(input.readAllBytes()).endsWith("\r\n0\r\n\r\n");
                    answered += whole ? 1 : 0;
                    cutOff += whole ? 0 : 1;
                    run.log("%s sent, answered 200, %s", id, whole ? "whole" : "cut off");
                }
            } catch (IOException cause) {
                run.log("%s: %s", id, cause.getMessage());
            }
            Run.pause(150);
        }
        run.log("%d streams of %s were whole, %d were cut off", answered, model, cutOff);
    }
}
