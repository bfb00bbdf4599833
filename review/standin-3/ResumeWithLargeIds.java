import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry is killed while it passes streams on. Their clients resume them at another entry after the last event that they
 * have. The ids of the events increase; they hold the number of the stream in their upper bits and that of the piece below.
 */
public final class ResumeWithLargeIds {

    private static final int STREAMS = 6;
    private static final int PIECES = 40;
    private static final int PIECES_BEFORE_KILL = 15;
    private static final long PIECE_MILLIS = 50;
    private static final int PIECE_BITS = 20;
    private static final long FIRST_STREAM = 0x3a5_0000_0001L;

    private final Case run;
    private final CountDownLatch underWay = new CountDownLatch(STREAMS);
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger incomplete = new AtomicInteger();

    private ResumeWithLargeIds(Case run) {
        this.run = run;
    }

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, run -> new ResumeWithLargeIds(run).play());
    }

    private boolean play() throws Exception {
        Store store = new Store();
        store.put("op/config", Streams.configuration());
        for (int number = 1; number <= 3; number++) {
            new Replica(
                            "i-llm" + number,
                            "llm",
                            "aber-" + "abc".charAt(number - 1),
                            store,
                            64,
                            Streams.MODELS,
                            this::answer)
                    .start();
        }
        List<Entry> entries = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            String zone = "aber-" + "abc".charAt(number);
            Entry entry = new Entry("edge-" + zone + "-1", zone, run.root, run.directory, store);
            entry.start();
            entries.add(entry);
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        run.record.write("the entries are ready");
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            long stream = FIRST_STREAM + number;
            Thread client = new Thread(() -> receive(entries, stream));
            client.start();
            clients.add(client);
        }
        if (!underWay.await(20, TimeUnit.SECONDS)) {
            throw new IOException("the streams are not under way");
        }
        if (run.trouble) {
            entries.get(0).kill();
            run.record.write(entries.get(0).name + " is killed (SIGKILL)");
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        run.record.write("streams " + STREAMS + ", with a piece twice, missing or out of order " + wrong
                + ", not finished " + incomplete);
        return wrong.get() == 0;
    }

    /** Receives a stream, and resumes it once at the second entry if its connection breaks. */
    private void receive(List<Entry> entries, long stream) {
        List<Long> ids = new ArrayList<>();
        boolean complete = false;
        for (int attempt = 0; attempt < 2 && !complete; attempt++) {
            String id = "r-" + (stream - FIRST_STREAM) + "-" + attempt;
            try {
                receive(entries.get(attempt), id, stream, ids);
                complete = true;
            } catch (IOException exception) {
                run.record.write("client of " + id + " has " + ids.size() + " events, then " + exception.getMessage());
            }
        }
        if (!complete) {
            incomplete.incrementAndGet();
        }
        List<Long> pieces = ids.stream().map(each -> each & ((1 << PIECE_BITS) - 1)).toList();
        boolean sound = true;
        for (int index = 0; index < pieces.size(); index++) {
            sound &= pieces.get(index) == index + 1;
        }
        sound &= !complete || pieces.size() == PIECES;
        run.record.write("stream " + stream + " complete " + complete + ", pieces " + pieces);
        if (!sound) {
            wrong.incrementAndGet();
        }
    }

    private void receive(Entry entry, String id, long stream, List<Long> ids) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), entry.callerPort), 1_000);
            socket.setSoTimeout(8_000);
            String resume = ids.isEmpty() ? "" : "Last-Event-Id: " + ids.get(ids.size() - 1) + "\r\n";
            String body = "stream " + stream;
            socket.getOutputStream()
                    .write(("POST /proof/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\n" + resume
                                    + "Deadline-Ms: 12000\r\nAuthorization: Token key-1\r\nModel: m0"
                                    + "\r\nToken-Count: 130,120\r\nPrompt-Prefix: 5c1e07a2:100,"
                                    + Long.toHexString(stream) + ":30\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                    + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            run.record.write("client sends " + id + " to " + entry.name + (resume.isEmpty() ? "" : ", " + resume.trim()));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(input);
            if (head == null || head.status() != 200) {
                throw new IOException(head == null ? "no answer" : head.first());
            }
            StringBuilder text = new StringBuilder();
            while (true) {
                byte[] chunk = Http.readChunk(input);
                if (chunk.length == 0) {
                    return;
                }
                text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                    ids.add(Long.parseLong(text.substring("id: ".length(), text.indexOf("\n"))));
                    text.delete(0, end + 2);
                    if (ids.size() == PIECES_BEFORE_KILL) {
                        underWay.countDown();
                    }
                }
            }
        }
    }

    /** Streams the pieces behind the last event that the client has. */
    private boolean answer(Replica replica, Http.Head head, byte[] body, OutputStream output, Socket socket)
            throws IOException, InterruptedException {
        String id = head.header("Request-Id");
        String lastEvent = head.header("Last-Event-Id");
        run.record.write("replica " + replica.id + " runs " + id
                + (lastEvent.isEmpty() ? "" : ", Last-Event-Id: " + lastEvent));
        long stream = Long.parseLong(new String(body, StandardCharsets.ISO_8859_1).substring("stream ".length()));
        Streams.begin(output, id);
        for (int piece = 1; piece <= PIECES; piece++) {
            long event = (stream << PIECE_BITS) + piece;
            if (!lastEvent.isEmpty() && event <= Long.parseLong(lastEvent)) {
                continue;
            }
            Streams.event(output, event);
            Thread.sleep(PIECE_MILLIS);
        }
        Streams.end(output);
        return true;
    }
}
