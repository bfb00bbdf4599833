import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;

/**
 * A planned stop while a caller reads its answer slowly. The replica has answered in full before the stop, and the
 * caller reads all the time: slowly at first, then faster, so that it has the whole answer before the grace is over.
 */
public final class SlowReaderAtStop {

    private static final int ANSWER_BYTES = 4_100_000;
    /** What a caller reads in a second, first and then. */
    private static final int FIRST_BYTES_PER_SECOND = 100_000;

    private static final int LATER_BYTES_PER_SECOND = 1_000_000;
    private static final int FIRST_MILLIS = 3_500;
    /** Longer than contact-ms, so that the entry is in touch. */
    private static final int CONTACT_MILLIS = 4_500;

    private static final int READ_INTERVAL_MILLIS = 20;
    private static final int CALLERS = 4;

    private SlowReaderAtStop() {}

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
        Replica replica = new Replica(run, store, "i-shop1", "shop", "aber-a", (request, output) -> {
            run.log("i-shop1 runs %s", request.id());
            Replica.answer(output, request, 200, answer);
            run.log("i-shop1 has answered %s with %d bytes", request.id(), answer.length);
        });
        replica.register();
        store.put("op/config", Config.of(7));
        Run.Entry entry = run.entry("edge-aber-a-1", "aber-a", store);
        entry.start();
        entry.awaitReady();
        Run.pause(CONTACT_MILLIS);
        Caller[] callers = new Caller[CALLERS];
        for (int index = 0; index < CALLERS; index++) {
            // One after the other, so that the entry never holds many incomplete answers.
            callers[index] = new Caller(run, entry.callerPort, "r-" + index);
            callers[index].awaitHead();
        }
        Run.pause(300);
        long stopMillis = run.millis();
        if (run.trouble) {
            entry.signal("TERM");
        }
        int cut = 0;
        for (Caller caller : callers) {
            caller.thread.join();
            cut += caller.failed ? 1 : 0;
        }
        run.log("%d of %d answers cut off; the last caller ended %d ms after the stop", cut, CALLERS, run.millis() - stopMillis);
        entry.quoteLog("Gateway");
        return cut == 0 ? Run.HELD : Run.BROKEN;
    }

    /** A caller with a kept connection, which reads its answer at a steady rate. */
    private static final class Caller {

        private final Run run;
        private final String id;
        private final Socket socket = new Socket();
        private final Thread thread = new Thread(this::read);
        private volatile boolean failed;

        Caller(Run run, int port, String id) throws IOException {
            this.run = run;
            this.id = id;
            socket.setReceiveBufferSize(2_048);
            socket.setSoTimeout(12_000);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            Run.write(
                    socket.getOutputStream(),
                    "GET /look/a HTTP/1.1\r\nHost: " + Config.HOST + "\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: 12000\r\nAuthorization: Token " + Config.KEY + "\r\n\r\n");
            run.log("%s sent", id);
        }

        /** Reads the head; the body follows on a thread. */
        void awaitHead() throws IOException {
            String head = Run.readHead(socket.getInputStream());
            if (head == null || !head.contains(" 200 ")) {
                throw new IOException("no answer to " + id + ": " + head);
            }
            run.log("%s has the head of its answer, %s bytes are due", id, Run.header(head, "Content-Length"));
            thread.start();
        }

        private void read() {
            int bytes = 0;
            String end = "whole answer";
            long start = run.millis();
            try (socket) {
                InputStream input = socket.getInputStream();
                byte[] buffer = new byte[LATER_BYTES_PER_SECOND * READ_INTERVAL_MILLIS / 1_000];
                while (bytes < ANSWER_BYTES) {
                    long millis = run.millis() - start;
                    long firstMillis = Math.min(millis, FIRST_MILLIS);
                    int due = (int) ((firstMillis * FIRST_BYTES_PER_SECOND
                                            + (millis - firstMillis) * LATER_BYTES_PER_SECOND)
                                    / 1_000)
                            - bytes;
                    if (due <= 0) {
                        Run.pause(READ_INTERVAL_MILLIS);
                        continue;
                    }
                    int count = input.read(buffer, 0, Math.min(buffer.length, due));
                    if (count < 0) {
                        end = "connection closed by the entry";
                        break;
                    }
                    bytes += count;
                }
            } catch (IOException cause) {
                end = cause.getMessage();
            }
            failed = bytes < ANSWER_BYTES;
            run.log("%s ends after %d of %d bytes: %s", id, bytes, ANSWER_BYTES, end);
        }
    }
}
