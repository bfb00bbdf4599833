import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Callers send names with letters beyond ASCII in path and query: as UTF-8, or percent-encoded without the disruption. */
public final class ChangedPath {

    private static final List<String> NAMES = List.of("Si\u00e2n", "T\u0177Gwyn", "K\u00e6rv\u00e6rk", "C\u0103lin");

    private ChangedPath() {}

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
        Replica replica = new Replica(run, store, "i-shop1", "shop", "aber-a", (request, output) ->
                Replica.answer(output, request, 200, new byte[800]));
        replica.register();
        store.put("op/config", Config.of(7));
        Run.Entry entry = run.entry("edge-aber-a-1", "aber-a", store);
        entry.start();
        entry.awaitReady();
        Run.pause(3_500);
        Map<String, String> sent = new HashMap<>();
        for (int index = 0; index < NAMES.size(); index++) {
            String name = run.trouble
                    // The bytes of UTF-8, each as one character.
                    ? new String(NAMES.get(index).getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1)
                    : URLEncoder.encode(NAMES.get(index), StandardCharsets.UTF_8);
            call(run, entry.callerPort, "GET", "/look/" + name + "?for=" + name, "look-" + index, sent);
            call(run, entry.callerPort, "POST", "/once/press?name=" + name, "once-" + index, sent);
        }
        int changed = 0;
        synchronized (replica.received) {
            for (Replica.Request request : replica.received) {
                boolean same = request.path().equals(sent.get(request.id()));
                changed += same ? 0 : 1;
                run.log(
                        "i-shop1 runs %s: %s%s", request.id(), bytes(request.path()),
                        same ? "" : ", which its caller did not send");
            }
        }
        run.log("%d of %d requests ran with another path or query", changed, replica.received.size());
        return replica.received.isEmpty() ? Run.NOT_RUN : changed == 0 ? Run.HELD : Run.BROKEN;
    }

    /** Writes each byte beyond ASCII as its number. */
    private static String bytes(String text) {
        StringBuilder result = new StringBuilder();
        for (char each : text.toCharArray()) {
            result.append(each < 127 ? String.valueOf(each) : String.format("[%02x]", (int) each));
        }
        return result.toString();
    }

    private static void call(Run run, int port, String method, String target, String id, Map<String, String> sent)
            throws IOException {
        sent.put(id, target);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Run.write(
                    socket.getOutputStream(),
                    method + " " + target + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\nAuthorization: Token " + Config.KEY
                            + "\r\n\r\n");
            String head = Run.readHead(input);
            run.log("%s sends %s and gets %s", id, bytes(target), head == null ? "no answer" : head.split(" ")[1]);
        }
    }
}
