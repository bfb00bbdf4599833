import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Callers that read their answers slowly for some seconds and then fast, beside others that book. */
public final class UnreadAnswers {

    private static final int ANSWER_BYTES = 4_100_000;
    private static final int CALLERS = 60;
    private static final int SLOW_MILLIS = 5_000;
    private static final int SLOW_BYTES_PER_SECOND = 20_000;
    private static final int READ_INTERVAL_MILLIS = 20;
    /** The deadline of all requests and the timeout of their routes. */
    private static final int DEADLINE_MILLIS = 12_000;
    /** Longer than the idle time-out, after which the entry closes the connections. */
    private static final int WAIT_MILLIS = 17_000;
    /** Answers that the entry collects at the same time; it bounds incomplete ones at 16 MB in all. */
    private static final int CONCURRENT = 3;
    private static final int BOOKERS = 12;
    private static final int ALLOWED_LOSSES = 3;

    private static volatile boolean ended;

    private UnreadAnswers() {}

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
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'x');
        AtomicInteger ran = new AtomicInteger();
        for (int index = 0; index < 3; index++) {
            new Replica(run, store, "i-shop" + index, "shop", "aber-a", (request, output) -> {
                        Run.pause(10);
                        boolean large = request.path().startsWith("/look/");
                        Replica.answer(output, request, 200, large ? answer : new byte[800]);
                        if (large) {
                            ran.incrementAndGet();
                        }
                    })
                    .register();
        }
        store.put("op/config", Config.of(7));
        Run.Entry entry = run.entry("edge-aber-a-1", "aber-a", store);
        entry.start();
        entry.awaitReady();
        // Longer than contact-ms, so that the entry is in touch.
        Run.pause(4_500);
        AtomicInteger booked = new AtomicInteger();
        AtomicLong slowestMillis = new AtomicLong();
        for (int index = 0; index < BOOKERS; index++) {
            int number = index;
            Replica.thread("booker", () -> book(run, entry.callerPort, number, booked, slowestMillis));
        }
        Run.pause(1_000);
        Semaphore concurrent = new Semaphore(CONCURRENT);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int index = 0; index < CALLERS; index++) {
            int number = index;
            Thread caller = new Thread(() -> {
                try {
                    ask(run, entry.callerPort, number, concurrent, lost);
                } catch (IOException | InterruptedException cause) {
                    run.log("look-%d: %s", number, cause.getMessage());
                    lost.incrementAndGet();
                }
            });
            callers.add(caller);
            caller.start();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        ended = true;
        run.log("%d bookings were answered, the slowest after %d ms", booked.get(), slowestMillis.get());
        run.log("replicas gave %d whole answers; %d of %d callers got none", ran.get(), lost.get(), CALLERS);
        return lost.get() > ALLOWED_LOSSES ? Run.BROKEN : Run.HELD;
    }

    private static void ask(Run run, int port, int number, Semaphore concurrent, AtomicInteger lost)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(2_048);
            socket.setSoTimeout(WAIT_MILLIS);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            InputStream input = socket.getInputStream();
            concurrent.acquire();
            long sentMillis = run.millis();
            String head;
            try {
                Run.write(
                        socket.getOutputStream(),
                        "GET /look/a HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: look-" + number
                                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nAuthorization: Token " + Config.KEY
                                + "\r\n\r\n");
                head = Run.readHead(input);
            } finally {
                concurrent.release();
            }
            if (head != null && !head.startsWith("HTTP/1.1 200")) {
                run.log("look-%d is answered %s", number, head.split(" ")[1]);
                return;
            }
            int bytes = head == null ? 0 : read(run, input, sentMillis);
            long millis = run.millis() - sentMillis;
            boolean whole = bytes == ANSWER_BYTES && millis <= DEADLINE_MILLIS;
            lost.addAndGet(whole ? 0 : 1);
            run.log(
                    "look-%d: status %s, %d of %d bytes after %d ms%s", number, head == null ? "-" : "200", bytes,
                    ANSWER_BYTES, millis, whole ? "" : ": no answer");
        }
    }

    private static int read(Run run, InputStream input, long sentMillis) throws IOException {
        byte[] few = new byte[SLOW_BYTES_PER_SECOND * READ_INTERVAL_MILLIS / 1_000];
        byte[] many = new byte[64 << 10];
        int bytes = 0;
        while (bytes < ANSWER_BYTES) {
            boolean slow = run.trouble && run.millis() - sentMillis < SLOW_MILLIS;
            int count = input.read(slow ? few : many);
            if (count < 0) {
                break;
            }
            bytes += count;
            if (slow) {
                Run.pause(READ_INTERVAL_MILLIS);
            }
        }
        return bytes;
    }

    private static void book(Run run, int port, int booker, AtomicInteger booked, AtomicLong slowestMillis) {
        for (int number = 0; !ended; number++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(DEADLINE_MILLIS);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                for (; !ended; number++) {
                    long sentMillis = run.millis();
                    Run.write(
                            socket.getOutputStream(),
                            "POST /once/b HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: book-" + booker + "-" + number
                                    + "\r\nDeadline-Ms: 4000\r\nContent-Length: 600\r\nAuthorization: Token "
                                    + Config.KEY + "\r\n\r\n" + "y".repeat(600));
                    String head = Run.readHead(input);
                    if (head == null) {
                        run.log("book-%d-%d: connection closed", booker, number);
                        break;
                    }
                    input.readNBytes(Integer.parseInt(Run.header(head, "Content-Length")));
                    booked.incrementAndGet();
                    slowestMillis.accumulateAndGet(run.millis() - sentMillis, Math::max);
                    Run.pause(100);
                }
            } catch (IOException cause) {
                run.log("book-%d-%d: %s", booker, number, cause.getMessage());
            }
        }
    }
}
