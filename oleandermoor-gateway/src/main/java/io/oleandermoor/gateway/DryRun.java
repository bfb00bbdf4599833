package io.oleandermoor.gateway;

import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Starts an entry on the loopback interface without a store, sends it one readiness check and one request, and stops
 * it. The build records the classes that this loads, so that an entry that restarts after a kill does not load them one
 * by one; the processor time of that start is charged in full. Without a store, most of the entry is not used, so its
 * other classes, and those of the libraries that handle its requests, are loaded by name.
 */
final class DryRun {

    private static final Logger LOG = LogManager.getLogger(DryRun.class);
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final String CLASS_SUFFIX = ".class";
    /** Packages, with those below them, whose classes an entry uses to serve requests. */
    private static final List<String> PACKAGE_TREES = List.of(
            "io/oleandermoor/",
            "io/netty/buffer/",
            "io/netty/channel/",
            "io/netty/util/",
            "com/fasterxml/jackson/core/",
            "com/fasterxml/jackson/jr/",
            "com/google/protobuf/",
            "io/reactivex/rxjava3/core/",
            "io/reactivex/rxjava3/disposables/",
            "io/reactivex/rxjava3/internal/observers/",
            "io/reactivex/rxjava3/internal/operators/completable/",
            "io/reactivex/rxjava3/internal/operators/single/");
    /** Packages without those below them. */
    private static final List<String> SINGLE_PACKAGES =
            List.of("io/netty/bootstrap/", "io/netty/handler/codec/", "io/netty/handler/codec/http/");

    private DryRun() {}

    static void run() throws IOException, InvalidInputException {
        List<Integer> ports = freePorts(4);
        int callerPort = ports.get(0);
        int readyPort = ports.get(1);
        Settings settings = new SettingsReader(GatewaySettings.SCHEMA)
                .read("dry-run", settingsText(callerPort, readyPort, ports.get(2), ports.get(3)), List.of());
        Gateway gateway = new Gateway(settings);
        gateway.start();
        gateway.listen();
        requireResponse(readyPort, "GET /api/ready HTTP/1.1\r\nHost: entry\r\n\r\n");
        requireResponse(callerPort, "GET / HTTP/1.1\r\nHost: entry\r\nRequest-Id: 1\r\n\r\n");
        gateway.stop();
        loadClasses(Path.of(URI.create(
                DryRun.class.getProtectionDomain().getCodeSource().getLocation().toString())));
    }

    private static void loadClasses(Path jar) throws IOException {
        try (JarFile file = new JarFile(jar.toFile())) {
            file.stream().map(JarEntry::getName).filter(DryRun::servesRequests).forEach(DryRun::loadClass);
        }
    }

    private static boolean servesRequests(String entry) {
        String folder = entry.substring(0, entry.lastIndexOf('/') + 1);
        return entry.endsWith(CLASS_SUFFIX)
                && (SINGLE_PACKAGES.contains(folder) || PACKAGE_TREES.stream().anyMatch(entry::startsWith));
    }

    private static void loadClass(String entry) {
        String name = entry.substring(0, entry.length() - CLASS_SUFFIX.length()).replace('/', '.');
        try {
            Class.forName(name, false, DryRun.class.getClassLoader());
        } catch (ClassNotFoundException | LinkageError cause) {
            // Libraries contain classes for optional dependencies that the entry does not have.
            LOG.debug("event=class_not_loaded class={} cause=\"{}\"", name, cause.toString());
        }
    }

    private static String settingsText(int callerPort, int readyPort, int peerPort, int storePort) {
        return "[process]\nname = dry-run\nfailure-domain = local\n[listen]\ncaller = 127.0.0.1:" + callerPort
                + "\nready = 127.0.0.1:" + readyPort + "\npeer = 127.0.0.1:" + peerPort
                + "\n[store]\naddress = 127.0.0.1:"
                + storePort
                + "\n[limits]\nrevocation = 5s\ngrace = 1s\n[retries]\nwindow = 10s\nratio = 0.2\nfixed = 50\n"
                + "[orders]\nholder-gap = 3s\n";
    }

    /** Returns different free ports. Each is kept until all are known, as the system may assign a closed one again. */
    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            List<Integer> ports = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                ports.add(socket.getLocalPort());
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    private static void requireResponse(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(request.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            InputStream input = socket.getInputStream();
            if (input.read() < 0) {
                throw new IOException("the entry on port " + port + " closed the connection without a response");
            }
        }
    }
}
