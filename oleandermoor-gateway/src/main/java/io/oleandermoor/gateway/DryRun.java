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
 * Starts an entry on the loopback interface without a store, sends it one readiness check and one request, and stops
 * it. The build records the classes that this loads, so that an entry that restarts after a kill does not load them one
 * by one; the processor time of that start is charged in full.
 */
final class DryRun {

    private static final int TIMEOUT_MILLIS = 5_000;

    private DryRun() {}

    static void run() throws IOException, InvalidInputException {
        int callerPort = freePort();
        int readyPort = freePort();
        Settings settings = new SettingsReader(GatewaySettings.SCHEMA)
                .read("dry-run", settingsText(callerPort, readyPort, freePort(), freePort()), List.of());
        Gateway gateway = new Gateway(settings);
        gateway.start();
        gateway.listen();
        requireResponse(readyPort, "GET /api/ready HTTP/1.1\r\nHost: entry\r\n\r\n");
        requireResponse(callerPort, "GET / HTTP/1.1\r\nHost: entry\r\nRequest-Id: 1\r\n\r\n");
        gateway.stop();
    }

    private static String settingsText(int callerPort, int readyPort, int peerPort, int storePort) {
        return "[process]\nname = dry-run\nfailure-domain = local\n[listen]\ncaller = 127.0.0.1:" + callerPort
                + "\nready = 127.0.0.1:" + readyPort + "\npeer = 127.0.0.1:" + peerPort
                + "\n[store]\naddress = 127.0.0.1:"
                + storePort
                + "\n[limits]\nrevocation = 5s\ngrace = 1s\n[retries]\nwindow = 10s\nratio = 0.2\nfixed = 50\n"
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
                throw new IOException("the entry on port " + port + " closed the connection without a response");
            }
        }
    }
}
