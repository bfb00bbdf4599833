import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each replica that runs it, 0.25 s after its first token. Its client sends it again and again. Other
 * callers send sound requests meanwhile.
 */
public final class CrashInMidStream {

    private static final String POISON = "the body that crashes replicas";
    private static final long EVENT_MILLIS = 50;
    private static final int EVENTS_BEFORE_CRASH = 5;
    private static final long DOWN_MILLIS = 2_500;
    private static final int REPLICAS = 6;
    private static final long SEND_INTERVAL_MILLIS = 2_000;
    private static final int SENDS = 22;
    private static final double CONTACT_SECONDS = 3.0;
    private static final int PERMITTED = 3;

    private final Case run;
    private final List<Double> crashes = new ArrayList<>();
    private final List<Double> poisonArrivals = new ArrayList<>();
    private final AtomicInteger soundRuns = new AtomicInteger();

    private CrashInMidStream(Case run) {
        this.run = run;
    }

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, run -> new CrashInMidStream(run).play());
    }

    private boolean play() throws Exception {
        Store store = new Store();
        store.put("op/config", Streams.configuration());
        for (int number = 1; number <= REPLICAS; number++) {
            new Replica("i-llm" + number, "llm", "aber-" + "abc".charAt(number % 3), store, 64, Streams.MODELS, this::answer)
                    .start();
        }
        List<Entry> entries = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            Entry entry = new Entry(
                    "edge-aber-" + "abc".charAt(number % 3) + "-1",
                    "aber-" + "abc".charAt(number % 3),
                    run.root,
                    run.directory,
                    store);
            entry.start();
            entries.add(entry);
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        run.record.write("the entries are ready");
        Thread.sleep(1_000);
        AtomicInteger soundAnswers = new AtomicInteger();
        Thread sound = new Thread(() -> sendSound(entries, soundAnswers), "sound");
        sound.setDaemon(true);
        sound.start();
        for (int number = 1; number <= SENDS; number++) {
            Entry entry = entries.get(number % entries.size());
            String id = "p-" + number;
            Thread sender = new Thread(() -> {
                run.record.write("client sends " + id + " to " + entry.name);
                run.record.write("client of " + id + ": " + Streams.send(entry, id, POISON, "5c1e07a2:800,91bd3f06:410"));
            });
            sender.setDaemon(true);
            sender.start();
            Thread.sleep(SEND_INTERVAL_MILLIS);
        }
        Thread.sleep(1_500);
        return judge(soundAnswers);
    }

    private boolean judge(AtomicInteger soundAnswers) {
        synchronized (this) {
            run.record.write("crashes " + crashes.size() + ", arrivals of the request that crashes "
                    + poisonArrivals.size() + ", sound requests run " + soundRuns + ", answered whole " + soundAnswers);
            if (crashes.size() < 3) {
                return true;
            }
            double from = crashes.get(2) + CONTACT_SECONDS;
            long late = poisonArrivals.stream().filter(at -> at > from).count();
            run.record.write(String.format(
                    "third crash at %.3f; arrivals later than 3 s after it: %d, permitted %d",
                    crashes.get(2), late, PERMITTED));
            return late <= PERMITTED;
        }
    }

    /** Streams events; a replica that runs the request that crashes ends in the middle of them. */
    private boolean answer(Replica replica, Http.Head head, byte[] body, OutputStream output, Socket socket)
            throws IOException, InterruptedException {
        boolean poison = new String(body, StandardCharsets.UTF_8).equals(POISON);
        String id = head.header("Request-Id");
        String lastEvent = head.header("Last-Event-Id");
        if (poison) {
            synchronized (this) {
                poisonArrivals.add(run.record.seconds());
            }
            run.record.write("replica " + replica.id + " runs " + id
                    + (lastEvent.isEmpty() ? "" : ", Last-Event-Id " + lastEvent));
        } else {
            soundRuns.incrementAndGet();
        }
        Thread.sleep(40);
        Streams.begin(output, id);
        int first = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1;
        for (int event = first; event <= 20; event++) {
            Streams.event(output, event);
            Thread.sleep(EVENT_MILLIS);
            if (poison && run.trouble && event - first + 1 >= EVENTS_BEFORE_CRASH) {
                crash(replica, id);
                return false;
            }
        }
        Streams.end(output);
        return true;
    }

    private void crash(Replica replica, String id) throws IOException {
        synchronized (this) {
            crashes.add(run.record.seconds());
        }
        run.record.write("replica " + replica.id + " crashes on " + id);
        replica.crash();
        Thread restart = new Thread(() -> {
            try {
                Thread.sleep(DOWN_MILLIS);
                replica.start();
                run.record.write("replica " + replica.id + " is back");
            } catch (IOException | InterruptedException exception) {
                run.record.write("replica " + replica.id + " is not back: " + exception);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    /** Sends a sound request every 100 ms, each with a prompt of its own. */
    private void sendSound(List<Entry> entries, AtomicInteger answers) {
        for (int number = 1; ; number++) {
            int current = number;
            Thread sender = new Thread(() -> {
                String result = Streams.send(
                        entries.get(current % entries.size()),
                        "g-" + current,
                        "sound request " + current,
                        "5c1e07a2:800,7" + Integer.toHexString(0x1000000 + current) + ":300");
                if (result.startsWith("200, whole")) {
                    answers.incrementAndGet();
                }
            });
            sender.setDaemon(true);
            sender.start();
            try {
                Thread.sleep(100);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }
}
