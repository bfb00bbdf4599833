import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One run of a case: its record, the entries that it starts with the command of the deploy file, and its exit code. */
final class Run implements AutoCloseable {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path root;
    private final Path folder;
    private final List<Entry> entries = new ArrayList<>();
    private boolean closed;

    /** Opens the record in the folder of the case; the root is that of the repository. */
    Run(String root, String caseFolder) throws IOException {
        this.root = Path.of(root).toAbsolutePath();
        record = Files.newBufferedWriter(Path.of(caseFolder, "record.txt"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        log("trouble=%s", trouble);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException cause) {
            throw new IllegalStateException(cause);
        }
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String format, Object... values) {
        if (closed) {
            return;
        }
        try {
            record.write(String.format(Locale.ROOT, "%8.3f s  ", millis() / 1_000.0)
                    + String.format(Locale.ROOT, format, values) + "\n");
            record.flush();
        } catch (IOException cause) {
            throw new IllegalStateException(cause);
        }
    }

    /** Returns a loopback port that is free for TCP and UDP and that the system gives to no outgoing connection. */
    static int freePort() throws IOException {
        for (int attempt = 0; ; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return tcp.getLocalPort();
            } catch (IOException cause) {
                if (attempt > 100) {
                    throw cause;
                }
            }
        }
    }

    /** An entry, which runs as a process of its own. */
    final class Entry {

        final String name;
        final int callerPort = freePort();
        final int readyPort = freePort();
        private final Path settings;
        private final Path output;
        private final List<String> command;
        private Process process;

        private Entry(String name, String zone, Store store) throws IOException {
            this.name = name;
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("no command in deploy/system.toml");
            }
            command = List.of(run.group(1).split(" "));
            settings = folder.resolve(name + ".ini");
            output = folder.resolve(name + ".log");
            String filled = Files.readString(root.resolve("deploy/gateway.ini.template"))
                    .replace("{{#region}}region = {{.}}{{/region}}", "region = cymru-west")
                    .replace(
                            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
                            "aber-a:cymru-west,aber-b:cymru-west,aber-c:cymru-west")
                    .replaceAll("(?m)^\\{\\{#bounds\\.[a-z-]+\\}\\}.*$", "")
                    .replace("{{node-name}}", name)
                    .replace("{{zone}}", zone)
                    .replace("{{limits.cores}}", "1")
                    .replace("{{limits.cpu-share}}", "0.57")
                    .replace("{{listen.front}}", "127.0.0.1:" + callerPort)
                    .replace("{{listen.ready}}", "127.0.0.1:" + readyPort)
                    .replace("{{ip}}", "127.0.0.1")
                    .replace("{{internal-ports.0}}", String.valueOf(freePort()))
                    .replace("{{platform.address}}", store.address())
                    .replace("{{bounds.revoke-ms}}", "5000")
                    .replace("{{bounds.drain-ms}}", "2000")
                    .replace("{{bounds.grace-s}}", "8")
                    .replace("{{limits.max-fds}}", "4100")
                    .replace("{{bounds.retry-window-s}}", "10")
                    .replace("{{bounds.retry-budget-ratio}}", "0.2")
                    .replace("{{bounds.retry-slack}}", "56")
                    .replace("{{bounds.lease-ms}}", "3000");
            if (filled.contains("{{")) {
                throw new IOException("placeholder not filled: " + filled);
            }
            Files.writeString(settings, filled);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().put("OLEANDERMOOR_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            log("%s started, callers at port %d", name, callerPort);
        }

        void awaitReady() throws IOException {
            long end = millis() + 30_000;
            while (!isReady()) {
                if (millis() > end || !process.isAlive()) {
                    throw new IOException(name + " is not ready");
                }
                pause(100);
            }
            log("%s ready", name);
        }

        private boolean isReady() {
            try {
                HttpURLConnection connection =
                        (HttpURLConnection) new URL("http://127.0.0.1:" + readyPort + "/api/ready").openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                return connection.getResponseCode() == 200;
            } catch (IOException cause) {
                return false;
            }
        }

        boolean alive() {
            return process.isAlive();
        }

        int exitValue() {
            return process.exitValue();
        }

        /** Sends a signal: TERM, KILL, STOP or CONT. */
        void signal(String signal) throws IOException {
            log("SIG%s to %s", signal, name);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            } catch (InterruptedException cause) {
                throw new IOException(cause);
            }
        }

        boolean awaitEnd(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        /** Copies lines of the log that contain one of the words into the record. */
        void quoteLog(String... words) throws IOException {
            for (String line : Files.readAllLines(output)) {
                for (String word : words) {
                    if (line.contains(word)) {
                        log("%s says: %s", name, line);
                        break;
                    }
                }
            }
        }
    }

    Entry entry(String name, String zone, Store store) throws IOException {
        Entry entry = new Entry(name, zone, store);
        entries.add(entry);
        return entry;
    }

    private void endProcesses() {
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
            }
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        endProcesses();
        record.close();
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            Files.deleteIfExists(file.toPath());
        }
        Files.deleteIfExists(folder);
    }

    /** Reads a head up to the empty line; returns null at the end of the stream. */
    static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            head.append((char) next);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                return head.toString();
            }
            next = input.read();
        }
        return null;
    }

    static String header(String head, String name) {
        Matcher matcher = Pattern.compile("(?im)^" + name + ": *(.*?)\r?$").matcher(head);
        return matcher.find() ? matcher.group(1) : "";
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
