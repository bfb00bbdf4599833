package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the entry, started with the command and the settings template of the deploy file. */
public final class Entry implements AutoCloseable {

    private final Path root;
    private final Path directory;
    private final String name;
    private final Record record;
    private final Path settings;
    private final String callerAddress;
    private final String readyAddress;
    private Process process;
    private int starts;

    public Entry(Path root, Path directory, String name, String storeAddress, Record record) throws IOException {
        this.root = root;
        this.directory = directory;
        this.name = name;
        this.record = record;
        callerAddress = "127.0.0.1:" + freePort();
        readyAddress = "127.0.0.1:" + freePort();
        Map<String, String> values = new HashMap<>(Map.of(
                "node-name", name,
                "zone", "zone-a",
                "limits.cores", "1",
                "limits.cpu-share", "0.57",
                "listen.front", callerAddress,
                "listen.ready", readyAddress,
                "ip", "127.0.0.1",
                "internal-ports.0", Integer.toString(freePort()),
                "platform.address", storeAddress));
        values.putAll(Map.of(
                "bounds.revoke-ms", "5000",
                "bounds.drain-ms", "2000",
                "bounds.grace-s", "8",
                "bounds.retry-window-s", "10",
                "bounds.retry-budget-ratio", "0.2",
                "bounds.retry-slack", "56",
                "bounds.lease-ms", "3000"));
        String text = Files.readString(root.resolve("deploy/gateway.ini.template"));
        Matcher matcher = Pattern.compile("\\{\\{([^}]+)}}").matcher(text);
        settings = directory.resolve(name + ".ini");
        Files.writeString(settings, matcher.replaceAll(match -> {
            String value = values.get(match.group(1));
            if (value == null) {
                throw new IllegalStateException("the settings template asks for " + match.group(1));
            }
            return Matcher.quoteReplacement(value);
        }));
    }

    /** Returns a port that is free for TCP and UDP, below those that the system assigns to connections. */
    public static int freePort() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            InetAddress loopback = InetAddress.getByName("127.0.0.1");
            try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                    DatagramSocket udp = new DatagramSocket(port, loopback)) {
                return port;
            } catch (IOException exception) {
                // The port is in use.
            }
        }
        throw new IOException("no free port");
    }

    public String name() {
        return name;
    }

    public String callerAddress() {
        return callerAddress;
    }

    /** Starts the process with the command under "run" in deploy/system.toml. */
    public void start() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        List<String> command = new ArrayList<>(List.of(matcher.group(1).split(" +")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("OLEANDERMOOR_SETTINGS", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + "-" + ++starts + ".log").toFile());
        process = builder.start();
        record.write("entry %s starts", name);
    }

    /** Returns whether the entry answers the platform's question for readiness with 200. */
    public boolean isReady() {
        try {
            return Caller.get(readyAddress, "/api/ready") == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    public boolean awaitReady(long millis) {
        long end = record.millis() + millis;
        while (record.millis() < end) {
            if (isReady()) {
                record.write("entry %s is ready", name);
                return true;
            }
            Http.sleep(100);
        }
        return false;
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends SIGTERM, as the platform does for planned work, and SIGKILL after the grace period of eight seconds. */
    public void terminate() throws InterruptedException {
        record.write("entry %s gets SIGTERM", name);
        process.destroy();
        if (!process.waitFor(8, TimeUnit.SECONDS)) {
            kill();
        }
        record.write("entry %s has ended", name);
    }

    /** Sends SIGKILL. */
    public void kill() throws InterruptedException {
        record.write("entry %s gets SIGKILL", name);
        process.destroyForcibly().waitFor();
    }

    /** Sends a signal by its name. */
    public void signal(String signal) throws IOException, InterruptedException {
        record.write("entry %s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(socketAddress(address), 1_000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }
}
