import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry of the project, started with the command of deploy/system.toml and settings like those of its template. */
final class Entry {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String name;
    final int callerPort;
    private final int readyPort;
    private final Path root;
    private final Path settings;
    private final Path log;
    private Process process;

    /** Writes the settings of an entry: the template of the deploy file, filled in for loopback. */
    Entry(String name, String zone, Path root, Path directory, Store store) throws IOException {
        this.name = name;
        this.root = root;
        callerPort = Ports.free();
        readyPort = Ports.free();
        settings = directory.resolve(name + ".ini");
        log = directory.resolve(name + ".log");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "[process]",
                        "name = " + name,
                        "failure-domain = " + zone,
                        "region = cymru-west",
                        "regions = [aber-a:cymru-west,aber-b:cymru-west,aber-c:cymru-west]",
                        "[machine]",
                        "cores = 1",
                        "core-share = 0.57",
                        "[listen]",
                        "caller = 127.0.0.1:" + callerPort,
                        "ready = 127.0.0.1:" + readyPort,
                        "peer = 127.0.0.1:" + Ports.free(),
                        "[store]",
                        "address = " + store.address(),
                        "[limits]",
                        "revocation = 5000ms",
                        "drain = 2000ms",
                        "grace = 8s",
                        "descriptors = 4100",
                        "[retries]",
                        "window = 10s",
                        "ratio = 0.2",
                        "fixed = 56",
                        "[orders]",
                        "holder-gap = 3000ms",
                        ""));
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("OLEANDERMOOR_SETTINGS", settings.toString());
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + readyPort + "/api/ready")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Waits until the entry reports that it is ready; fails after 30 seconds. */
    void awaitReady() throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 300; attempt++) {
            if (isReady()) {
                return;
            }
            if (!process.isAlive()) {
                break;
            }
            Thread.sleep(100);
        }
        throw new IOException(name + " is not ready: " + Files.readString(log));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Sends SIGTERM, as the platform does to stop a process. */
    void terminate() {
        process.destroy();
    }

    void signal(String signalName) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Ends the process with SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Returns the lines of the log that contain a text. */
    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log).stream()
                .filter(line -> line.contains(text))
                .toList();
    }
}
