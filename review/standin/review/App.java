package review;

import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** An application replica: runs each request for some time and answers it whole. */
public final class App extends Http {

    private static final long HEARTBEAT_MILLIS = 1_200;

    private final String id;
    private final String service;
    private final Store store;
    private final long workMillis;
    private final long born = System.currentTimeMillis();
    private final List<String> ran = new CopyOnWriteArrayList<>();
    private long beats;

    public App(Record record, Store store, String id, String service, long workMillis) throws IOException {
        super(record);
        this.store = store;
        this.id = id;
        this.service = service;
        this.workMillis = workMillis;
    }

    /** Returns the ids of the requests that ran, in order. */
    public List<String> ran() {
        return ran;
    }

    @Override
    public void start() {
        super.start();
        daemon(() -> {
            while (true) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("service", service);
                entry.put("address", address());
                entry.put("zone", "zone-a");
                entry.put("version", 1);
                entry.put("slots", 6);
                entry.put("state", "ready");
                entry.put("cold-remaining-ms", 0);
                entry.put("sequence", ++beats);
                entry.put("born", born);
                store.put("servers/" + id, Json.write(entry));
                sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    @Override
    protected boolean handle(Request request, Socket socket) throws IOException {
        String echo = "Request-Id: " + request.header("request-id") + "\r\n";
        String target = request.header("target-instance");
        if (!target.isEmpty() && !target.equals(id)) {
            answer(socket, 421, echo + "Not-Executed: 1\r\n", "");
            return true;
        }
        ran.add(request.header("request-id"));
        record.write("run replica=%s id=%s %s %s tenant=%s", id, request.header("request-id"), request.method(),
                request.uri(), request.header("tenant"));
        sleep(workMillis);
        answer(socket, 200, echo + "Response-Stamp: s-" + id + "\r\n", "done " + request.header("request-id"));
        return true;
    }
}
