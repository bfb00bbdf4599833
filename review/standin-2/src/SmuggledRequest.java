import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A caller's request whose body holds the text of another request, as somebody else wrote it. The body has a length, or,
 * as the disruption, a transfer coding that is not chunked, with which the length of the body cannot be told.
 */
public final class SmuggledRequest {

    private static final String OTHER_KEY = "x4tt8cker0key1abcdef";
    private static final List<String> CODINGS = List.of("gzip", "identity", "xchunked", "chunked;a=b");

    private SmuggledRequest() {}

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
        Replica replica = new Replica(run, store, "i-shop1", "shop", "aber-a", (request, output) -> {
            run.log("i-shop1 runs %s of %s: %s with %d bytes", request.id(), Run.header(request.head(), "Tenant"),
                    request.line(), request.body().length);
            Replica.answer(output, request, 200, new byte[800]);
        });
        replica.register();
        Map<String, Object> config = Config.of(7);
        config.put(
                "tenants",
                List.of(
                        Map.of("name", "hule930", "api-keys", List.of(Config.KEY)),
                        Map.of("name", "other77", "api-keys", List.of(OTHER_KEY))));
        store.put("op/config", config);
        Run.Entry entry = run.entry("edge-aber-a-1", "aber-a", store);
        entry.start();
        entry.awaitReady();
        Run.pause(3_500);
        Map<String, String> sent = new HashMap<>();
        List<String> foreign = new ArrayList<>();
        for (int index = 0; index < CODINGS.size(); index++) {
            call(run, entry.callerPort, index, sent, foreign);
        }
        int unasked = 0;
        synchronized (replica.received) {
            for (Replica.Request request : replica.received) {
                String body = sent.get(request.id());
                boolean ofCaller = body != null && body.equals(new String(request.body()));
                if (!ofCaller) {
                    unasked++;
                    run.log("no caller sent %s with this body", request.id());
                }
            }
        }
        run.log("%d requests ran that no caller sent so; %d answers belong to another request", unasked, foreign.size());
        return unasked == 0 && foreign.isEmpty() ? Run.HELD : Run.BROKEN;
    }

    /** Sends a booking with the text in its body and, once that is answered, another booking on the same connection. */
    private static void call(Run run, int port, int index, Map<String, String> sent, List<String> foreign)
            throws IOException {
        String inner = head("/once/smuggled", "in-" + index, OTHER_KEY) + "Content-Length: 0\r\n\r\n";
        String framing = run.trouble ? "Transfer-Encoding: " + CODINGS.get(index) : "Content-Length: " + inner.length();
        sent.put("out-" + index, inner);
        sent.put("next-" + index, "next");
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Run.write(
                    socket.getOutputStream(),
                    head("/once/booking", "out-" + index, Config.KEY) + framing + "\r\n\r\n" + inner);
            run.log("the caller sends out-%d with %s and a body of %d bytes", index, framing, inner.length());
            boolean open = read(run, input, "out-" + index, foreign);
            if (!open) {
                return;
            }
            Run.write(
                    socket.getOutputStream(),
                    head("/once/booking", "next-" + index, Config.KEY) + "Content-Length: 4\r\n\r\nnext");
            run.log("the caller sends next-%d on the same connection", index);
            read(run, input, "next-" + index, foreign);
        } catch (IOException cause) {
            run.log("connection ended: %s", cause.getMessage());
        }
    }

    private static String head(String path, String id, String key) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token " + key + "\r\n";
    }

    /** Reads one answer and returns whether the connection stays open. */
    private static boolean read(Run run, InputStream input, String id, List<String> foreign) throws IOException {
        String head = Run.readHead(input);
        if (head == null) {
            run.log("the connection of %s is closed", id);
            return false;
        }
        String length = Run.header(head, "Content-Length");
        input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        String answered = Run.header(head, "Request-Id");
        boolean success = head.startsWith("HTTP/1.1 2");
        run.log("the caller of %s gets %s for %s", id, head.split(" ")[1], answered.isEmpty() ? "-" : answered);
        if (success && !answered.equals(id)) {
            foreign.add(id);
            run.log("this answer belongs to another request");
        }
        return !Run.header(head, "Connection").equalsIgnoreCase("close");
    }
}
