package io.oleandermoor.gateway.soak;

import io.oleandermoor.gateway.GatewayMain;
import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.StoreStandIn;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** An entry in a process of its own, which keeps its ports and its log over all restarts. */
public final class EntryProcess implements AutoCloseable {

    private static final Duration GRACE = Duration.ofSeconds(3);
    private static final int READY_TIMEOUT_MILLIS = 500;

    private static final List<String> DEFAULT_COMMAND =
            List.of(javaCommand(), "-Xmx200m", "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true");

    private final String name;
    private final List<String> command;
    private final Path settings;
    private final int callerPort = EntryFixture.freePort();
    private final int readyPort = EntryFixture.freePort();
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final List<String> unexpectedEnds = new ArrayList<>();
    private Process process;
    private volatile Process lastStarted;
    private Process signalled;

    /** Starts an entry whose settings are written to a directory. */
    EntryProcess(String name, StoreStandIn store, Path directory) throws IOException {
        this(name, store, directory, DEFAULT_COMMAND);
    }

    /** Starts an entry with a command that ends with the options of the virtual machine. */
    public EntryProcess(String name, StoreStandIn store, Path directory, List<String> command) throws IOException {
        this.name = name;
        this.command = command;
        settings = Files.writeString(
                directory.resolve(name + ".ini"), EntryFixture.settings(name, store, GRACE, callerPort, readyPort));
        process = start();
    }

    /** Returns the path of the java command of this process. */
    public static String javaCommand() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private Process start() throws IOException {
        List<String> arguments = new ArrayList<>(command);
        arguments.addAll(List.of(
                "-cp", System.getProperty("java.class.path"), GatewayMain.class.getName(), settings.toString()));
        Process started =
                new ProcessBuilder(arguments).redirectErrorStream(true).start();
        Thread reader = new Thread(() -> readLines(started), "log-" + name);
        reader.setDaemon(true);
        reader.start();
        return started;
    }

    private void readLines(Process started) {
        try (BufferedReader output = started.inputReader(StandardCharsets.UTF_8)) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                lines.add(line);
                if (line.contains("event=start")) {
                    lastStarted = started;
                }
            }
        } catch (IOException exception) {
            lines.add("soak: the output ended: " + exception.getMessage());
        }
    }

    /** Returns the port on which the entry accepts requests of callers. */
    public int callerPort() {
        return callerPort;
    }

    /** Returns the log lines of all runs that contain a text. */
    public List<String> linesWith(String text) {
        List<String> found = new ArrayList<>();
        for (String line : lines) {
            if (line.contains(text)) {
                found.add(name + ": " + line);
            }
        }
        return found;
    }

    /** Returns whether the readiness check succeeds. */
    public boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + readyPort + "/api/ready")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(READY_TIMEOUT_MILLIS);
            connection.setReadTimeout(READY_TIMEOUT_MILLIS);
            return connection.getResponseCode() == 200;
        } catch (IOException exception) {
            // It does not listen yet.
            return false;
        }
    }

    /** Sends SIGHUP, unless the process is still starting: before it has a handler, the signal ends it. */
    void hangUp() throws IOException, InterruptedException {
        Process current = current();
        if (current.isAlive() && lastStarted == current) {
            new ProcessBuilder("kill", "-HUP", Long.toString(current.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Sends SIGTERM and, at once or never, SIGKILL, and starts the entry again when it has ended. */
    void restart(boolean kill) throws IOException, InterruptedException {
        Process ending = signal();
        if (kill) {
            ending.destroyForcibly();
        } else {
            ending.destroy();
        }
        ending.waitFor();
        synchronized (this) {
            if (process == ending) {
                process = start();
            }
        }
    }

    /** Returns the ends of processes that no signal had caused. */
    public synchronized List<String> unexpectedEnds() {
        noteUnexpectedEnd();
        return unexpectedEnds;
    }

    private void noteUnexpectedEnd() {
        if (process != signalled && !process.isAlive()) {
            unexpectedEnds.add(name + " ended with status " + process.exitValue());
        }
    }

    private synchronized Process signal() {
        noteUnexpectedEnd();
        signalled = process;
        return process;
    }

    /** Returns the identifier of the current process. */
    public synchronized long pid() {
        return process.pid();
    }

    private synchronized Process current() {
        return process;
    }

    @Override
    public synchronized void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
