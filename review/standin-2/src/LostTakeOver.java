import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned stop of the entry that gives orders. The store loses the answer to the write by which the next entry takes
 * the right over, and that entry takes it over a second time, as if it had given the last orders itself.
 */
public final class LostTakeOver {

    private static final String HOLDER_KEY = "oleandermoor/orders/holder";
    /** lease-ms of the site. */
    private static final long LEASE_MILLIS = 3_000;

    private static final int ENGINES = 3;
    private static final int ADAPTERS = 26;
    private static final int CALLERS = 40;
    /** Time in which the first entry gives orders and all are in touch. */
    private static final long STEADY_MILLIS = 6_000;
    private static final long OBSERVED_MILLIS = 8_000;

    private static volatile boolean ended;
    private static volatile List<Run.Entry> serving;

    private LostTakeOver() {}

    public static void main(String[] arguments) {
        int code = Run.NOT_RUN;
        try (Run run = new Run(arguments[0], arguments[1])) {
            code = play(run);
        } catch (IOException | InterruptedException cause) {
            cause.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Run run) throws IOException, InterruptedException {
        Store store = new Store();
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new Engine(run, store, "i-llm" + index, "aber-a"));
        }
        store.put("op/config", Config.of(7));
        Run.Entry first = run.entry("edge-aber-a-1", "aber-a", store);
        Run.Entry second = run.entry("edge-aber-b-1", "aber-b", store);
        first.start();
        awaitHolder(run, store, first.name);
        first.awaitReady();
        second.start();
        second.awaitReady();
        serving = List.of(first, second);
        AtomicInteger answered = new AtomicInteger();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Replica.thread("caller-" + caller, () -> call(number, answered));
        }
        Run.pause(STEADY_MILLIS);
        serving = List.of(second);
        if (run.trouble) {
            store.loseNextAnswer(HOLDER_KEY);
        }
        first.signal("TERM");
        awaitHolder(run, store, second.name);
        if (run.trouble) {
            run.log("the store has carried out the take-over of %s and does not answer it", second.name);
        }
        Run.pause(OBSERVED_MILLIS);
        ended = true;
        first.quoteLog("OrderLease", "event=stop");
        second.quoteLog("OrderLease", "event=start ", "event=stop");
        run.log("%d requests were answered 200", answered.get());
        return judge(run, engines);
    }

    /** Finds orders to one engine that come from two holders within lease-ms, or with a lower token after a higher. */
    private static int judge(Run run, List<Engine> engines) {
        int orders = 0;
        int broken = 0;
        for (Engine engine : engines) {
            synchronized (engine) {
                Engine.Arrival previous = null;
                for (Engine.Arrival arrival : engine.arrivals) {
                    orders++;
                    if (previous != null && !previous.holder().equals(arrival.holder())) {
                        long millis = arrival.millis() - previous.millis();
                        boolean early = millis < LEASE_MILLIS || arrival.token() < previous.token();
                        broken += early ? 1 : 0;
                        run.log(
                                "%s: the first order of %s (token %d) arrives %d ms after the last one of %s (token %d)%s",
                                engine.id(), arrival.holder(), arrival.token(), millis, previous.holder(),
                                previous.token(), early ? ": the holders take turns within lease-ms" : "");
                    }
                    previous = arrival;
                }
            }
        }
        run.log("%d orders, %d changes of the holder within %d ms", orders, broken, LEASE_MILLIS);
        return orders == 0 ? Run.NOT_RUN : broken == 0 ? Run.HELD : Run.BROKEN;
    }

    private static void awaitHolder(Run run, Store store, String name) throws IOException {
        long end = run.millis() + 20_000;
        while (!store.value(HOLDER_KEY).equals(name)) {
            if (run.millis() > end) {
                throw new IOException(name + " does not become the holder");
            }
            Run.pause(2);
        }
        run.log("%s is the holder in the store", name);
    }

    /** Asks for one adapter after the other, each time on a new connection to an entry that takes callers. */
    private static void call(int caller, AtomicInteger answered) {
        for (int number = 0; !ended; number++) {
            List<Run.Entry> entries = serving;
            Run.Entry entry = entries.get((caller + number) % entries.size());
            try (Socket socket = new Socket("127.0.0.1", entry.callerPort)) {
                socket.setSoTimeout(13_000);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                String adapter = "a" + ThreadLocalRandom.current().nextInt(1, ADAPTERS + 1);
                Run.write(
                        socket.getOutputStream(),
                        "POST /live/x HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: c" + caller + "-" + number
                                + "\r\nModel: m0/" + adapter + "\r\nToken-Count: 50,24\r\nPrompt-Prefix: "
                                + Integer.toHexString(caller + 16) + ":50\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n"
                                + "Connection: close\r\nAuthorization: Token " + Config.KEY + "\r\n\r\nabcd");
                String head = Run.readHead(input);
                if (head != null && head.contains(" 200 ")) {
                    answered.incrementAndGet();
                    input.readAllBytes();
                }
            } catch (IOException cause) {
                // The entry is not there; the caller tries again.
            }
            Run.pause(100);
        }
    }
}
