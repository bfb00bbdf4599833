package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a complete entry whose planned stop ends before the requests that it has accepted. */
class PlannedStopTest {

    private static final Duration GRACE = Duration.ofSeconds(4);
    /** After the load balancer has removed the entry, and early enough for a request that may be repeated. */
    private static final Duration LATE = Duration.ofMillis(2_800);

    private static final int RESPONSE_TIMEOUT_MILLIS = 3_000;

    private EntryFixture entry;
    private InstanceStandIn instance;
    private Thread stopping;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture(GRACE);
        instance = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
        entry.awaitReady();
        instance.setBehaviour(Behaviour.SILENT);
        stopping = new Thread(entry.gateway()::stop);
    }

    @AfterEach
    void stop() throws Exception {
        stopping.join();
        entry.close();
    }

    /** Begins a request, then the stop, sends the rest of the request after a delay, and returns the response. */
    private String completeRequestDuringStop(String path, Duration delay) throws Exception {
        byte[] bytes = ("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: p-1\r\n"
                        + "Authorization: Token key-1\r\nContent-Length: 8\r\n\r\nquestion")
                .getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = new Socket("127.0.0.1", entry.callerPort())) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes, 0, bytes.length / 2);
            await().pollDelay(Duration.ofMillis(200)).until(() -> true);
            stopping.start();
            await().pollDelay(delay).until(() -> true);
            socket.getOutputStream().write(bytes, bytes.length / 2, bytes.length - bytes.length / 2);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Guards against a request that must not be repeated and is cut off without an answer at the end of the grace. */
    @Test
    void requestThatMayOutlastTheGraceIsRefusedAtOnce() throws Exception {
        String response = completeRequestDuringStop(UNSAFE_PATH, LATE.plusMillis(300));
        assertThat(response).startsWith("HTTP/1.1 503").contains("retry-after: 0.1", "connection: close");
        assertThat(instance.receivedRequests()).isEmpty();
    }

    @Test
    void requestWhoseDeadlineIsWithinTheGraceIsServed() throws Exception {
        instance.setBehaviour(Behaviour.ANSWER);
        assertThat(completeRequestDuringStop(UNSAFE_PATH, Duration.ofMillis(2_000)))
                .startsWith("HTTP/1.1 200")
                .endsWith("done by i-1");
    }

    /** Guards against a request that an instance runs and whose connection closes without an answer. */
    @Test
    void requestThatStillRunsAtTheEndOfTheGraceIsAnswered() throws Exception {
        assertThat(completeRequestDuringStop(SAFE_PATH, LATE)).startsWith("HTTP/1.1 504");
        assertThat(instance.receivedRequests()).hasSize(1);
    }
}
