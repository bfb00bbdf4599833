package io.oleandermoor.gateway.crowd;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.soak.EntryProcess;
import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import io.oleandermoor.gateway.standin.StoreStandIn;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests an entry process with three eighths of the deployed memory beside crowds of hostile callers: it lives, stays
 * within its memory and its descriptors, and answers an ordinary request while the crowd is still connected.
 */
class HostileCrowdTest {

    private static final int HEAP_MEGABYTES = 36;
    private static final int DIRECT_MEGABYTES = 48;
    /** What the smallest machine, with 290 MB, has beside the deployed heap of 96 MB and direct memory of 128 MB. */
    private static final int VIRTUAL_MACHINE_MEGABYTES = 66;

    private static final int MAXIMUM_MEMORY_MEGABYTES = HEAP_MEGABYTES + DIRECT_MEGABYTES + VIRTUAL_MACHINE_MEGABYTES;

    /** Descriptors of the smallest machine. */
    private static final int DESCRIPTORS = 2_212;

    private static final int FEW_DESCRIPTORS = 1_100;
    private static final int INSTANCE_RESERVE = 500;

    private static final int BODY_BYTES = 256 << 10;
    private static final int HEAD_BYTES = 15_500;
    private static final int RESPONSE_BYTES = 200 << 10;
    private static final int READ_TIMEOUT_MILLIS = 3_000;
    /** Longer than the header timeout of the configuration, 6 s, within which the entry receives what was sent. */
    private static final Duration HOLD = Duration.ofSeconds(8);

    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);

    @TempDir
    Path directory;

    private StoreStandIn store;
    private InstanceStandIn instance;
    private EntryProcess entry;
    private ProcessUsage usage;

    @BeforeEach
    void startPeers() throws Exception {
        store = new StoreStandIn();
        store.put("op/config", EntryFixture.configuration(2, "\"key-1\"", BODY_BYTES));
        instance = new InstanceStandIn("i-1", Behaviour.ANSWER);
        store.put("servers/i-1", instance.registration("shop", "ready", "[]"));
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        instance.close();
        store.close();
    }

    private void startEntry(int descriptors) throws IOException {
        List<String> command = List.of(
                "sh",
                "-c",
                "ulimit -n " + descriptors + "; exec \"$@\"",
                "sh",
                EntryProcess.javaCommand(),
                "-Xmx" + HEAP_MEGABYTES + "m",
                "-XX:MaxDirectMemorySize=" + DIRECT_MEGABYTES + "m",
                // Without it, an error of the read of one connection closes that connection silently, and one
                // anywhere else ends the event loop: whether the process survives is left to chance.
                "-XX:+ExitOnOutOfMemoryError",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:ReservedCodeCacheSize=24m",
                "-XX:MaxMetaspaceSize=64m",
                "-XX:-UsePerfData",
                "-Djava.net.preferIPv4Stack=true",
                "-Dlog4j.provider=org.apache.logging.log4j.simple.internal.SimpleProvider",
                "-Dorg.apache.logging.log4j.simplelog.level=INFO");
        entry = new EntryProcess("entry-1", store, directory, command);
        usage = new ProcessUsage(entry.pid());
        await().atMost(Duration.ofSeconds(30)).until(entry::isReady);
        await().atMost(Duration.ofSeconds(30)).until(this::isAnswered);
    }

    private static byte[] head(String method, String fields) {
        return (method + " " + SAFE_PATH + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: crowd\r\n"
                        + "Authorization: Token key-1\r\nModel: none\r\n" + fields)
                .getBytes(US_ASCII);
    }

    private static byte[] with(byte[] head, String body) {
        return (new String(head, US_ASCII) + body).getBytes(US_ASCII);
    }

    /** Sends an ordinary request from another address than that of the crowd. */
    private boolean isAnswered() {
        try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(head("GET", "Connection: close\r\n\r\n"));
            return new String(socket.getInputStream().readNBytes(12), US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException exception) {
            return false;
        }
    }

    /** Waits until the entry has received what the crowd has sent, which remains connected. */
    private void holdCrowd() {
        long end = System.nanoTime() + HOLD.toNanos();
        while (System.nanoTime() < end && !hasEnded()) {
            usage.sample();
            LockSupport.parkNanos(SAMPLE_INTERVAL.toNanos());
        }
    }

    private boolean hasEnded() {
        return !entry.unexpectedEnds().isEmpty();
    }

    private void checkEntry(int maximumDescriptors) {
        try {
            holdCrowd();
            await().atMost(Duration.ofSeconds(60)).until(() -> hasEnded() || isAnswered());
        } finally {
            usage.sample();
            System.out.println("crowd memory_mb=" + usage.peakMemoryMegabytes() + " descriptors="
                    + usage.peakDescriptors() + " ended=" + entry.unexpectedEnds() + " out_of_memory="
                    + entry.linesWith("OutOf").size());
        }
        assertThat(entry.unexpectedEnds()).isEmpty();
        assertThat(usage.peakMemoryMegabytes()).as("peak memory in MB").isLessThanOrEqualTo(MAXIMUM_MEMORY_MEGABYTES);
        assertThat(usage.peakDescriptors()).as("open descriptors").isLessThanOrEqualTo(maximumDescriptors);
    }

    private void checkAfter(int callers, byte[] bytes, int pieceBytes) throws Exception {
        startEntry(DESCRIPTORS);
        try (Crowd crowd = new Crowd(entry.callerPort(), callers, bytes, pieceBytes)) {
            crowd.send(usage::sample);
            checkEntry(DESCRIPTORS - INSTANCE_RESERVE);
        }
    }

    /** Guards against a heap, or direct memory, that is exhausted by heads that never end. */
    @ParameterizedTest
    @ValueSource(strings = {"a: b\r\n", "a: 0123456789012345678901234567890123456789\r\n", "0123456789"})
    void headsThatStopBeforeTheirEnd(String repeated) throws Exception {
        byte[] head = head("GET", "X: ");
        String rest = repeated.repeat((HEAD_BYTES - head.length) / repeated.length());
        checkAfter(600, with(head, rest), HEAD_BYTES);
    }

    /** Guards against direct memory that is exhausted by bodies of legal size that never end. */
    @ParameterizedTest
    @ValueSource(ints = {BODY_BYTES, 2_000})
    void bodiesThatStopBeforeTheirEnd(int pieceBytes) throws Exception {
        byte[] head = head("POST", "Content-Length: " + BODY_BYTES + "\r\n\r\n");
        checkAfter(400, with(head, "x".repeat(BODY_BYTES - 1)), pieceBytes);
    }

    /** Guards against the overhead of small parts of bodies, and against an event loop that only reads them. */
    @Test
    void bodiesInChunksOfOneByte() throws Exception {
        byte[] head = head("POST", "Transfer-Encoding: chunked\r\n\r\n");
        checkAfter(400, with(head, "1\r\nx\r\n".repeat(20_000)), 64 << 10);
    }

    /** Guards against descriptors that are used up by connections, so that instances and the store get none. */
    @Test
    void connectionsOfWhichPartLeavesEarly() throws Exception {
        startEntry(FEW_DESCRIPTORS);
        byte[] head = head("GET", "X: y");
        try (Crowd crowd = new Crowd(entry.callerPort(), 900, head, head.length)) {
            crowd.send(usage::sample);
            crowd.leaveEach(3);
            checkEntry(FEW_DESCRIPTORS - INSTANCE_RESERVE);
        }
    }

    /** Guards against memory that is exhausted by responses that their callers do not read. */
    @Test
    void pipelinedRequestsWhoseResponsesAreNotRead() throws Exception {
        instance.setRawResponse(id -> "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: " + id
                + "\r\nContent-Length: " + RESPONSE_BYTES + "\r\n\r\n" + "x".repeat(RESPONSE_BYTES));
        byte[] request = head("GET", "\r\n");
        checkAfter(400, with(new byte[0], new String(request, US_ASCII).repeat(50)), 64 << 10);
    }
}
