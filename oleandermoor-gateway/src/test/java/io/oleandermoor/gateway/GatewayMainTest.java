package io.oleandermoor.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

class GatewayMainTest {

    private static final String SETTINGS = "[process]\nname = e\nfailure-domain = a\n[listen]\ncaller = 127.0.0.1:0\n"
            + "ready = 127.0.0.1:0\npeer = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n[limits]\n"
            + "revocation = 5s\ngrace = 8s\n[retries]\nwindow = 10s\nratio = 0.2\nfixed = 50\n[orders]\n"
            + "holder-gap = 3s\n";

    /** Guards against a process that exits with status 129 on SIGHUP, which announces changed settings. */
    @Test
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void hangupSignalDoesNotTerminateProcess(@TempDir Path directory) throws Exception {
        Path settings = Files.writeString(directory.resolve("gateway.ini"), SETTINGS);
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        GatewayMain.class.getName(),
                        settings.toString())
                .redirectErrorStream(true)
                .start();
        try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
            awaitLine(output, "event=start");
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                    .start()
                    .waitFor();
            awaitLine(output, "event=hangup");
            assertThat(process.isAlive()).isTrue();
        } finally {
            process.destroyForcibly();
        }
    }

    private static void awaitLine(BufferedReader output, String expected) throws Exception {
        String line = output.readLine();
        while (line != null && !line.contains(expected)) {
            line = output.readLine();
        }
        assertThat(line).as("output line with " + expected).isNotNull();
    }
}
