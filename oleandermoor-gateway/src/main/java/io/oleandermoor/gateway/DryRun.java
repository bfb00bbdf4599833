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
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Starts an entry on the loopback without a store, asks it once for its readiness and for an answer, and stops it. The
 * build records the classes that this loads, so that an entry that starts again after a kill need not load them one by
 * one: its start is charged in full there.
 */
final class DryRun {

    private static final int TIMEOUT_MILLIS = 5_000;

    private DryRun() {}

    static void run() throws IOException, InvalidInputException {
        int callers = freePort();
        int ready = freePort();
        Settings settings = new SettingsReader(GatewaySettings.SCHEMA)
                .read("dry-run", settingsText(callers, ready, freePort(), freePort()), List.of());
        Gateway gateway = new Gateway(settings);
        gateway.start();
        gateway.listen();
        requireResponse(ready, "GET /api/ready HTTP/1.1\r\nHost: entry\r\n\r\n");
        requireResponse(callers, "GET / HTTP/1.1\r\nHost: entry\r\nRequest-Id: 1\r\n\r\n");
        gateway.stop();
    }

    private static String settingsText(int callers, int ready, int peer, int store) {
        return "[process]\nname = dry-run\nfailure-domain = local\n[listen]\ncaller = 127.0.0.1:" + callers
                + "\nready = 127.0.0.1:" + ready + "\npeer = 127.0.0.1:" + peer + "\n[store]\naddress = 127.0.0.1:"
                + store + "\n[limits]\nrevocation = 5s\ngrace = 1s\n[retries]\nwindow = 10s\nratio = 0.2\nfixed = 50\n"
                + "[orders]\nholder-gap = 3s\n";
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
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
                throw new IOException("the entry on port " + port + " closed the connection without an answer");
            }
        }
    }
}
