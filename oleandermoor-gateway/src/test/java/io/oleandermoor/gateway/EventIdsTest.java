package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import io.oleandermoor.gateway.standin.RawCaller;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests complete entries with streams whose events have ids that floating-point numbers or a long do not hold. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EventIdsTest {

    private static final Pattern ID_LINE = Pattern.compile("(?m)^id: ([0-9]+)$");
    private static final String BROKEN_CHUNK = "zz\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final List<InstanceStandIn> instances = new ArrayList<>();
    private EntryFixture entry;

    @BeforeAll
    void start() throws Exception {
        entry = new EntryFixture();
        for (String id : List.of("i-1", "i-2")) {
            instances.add(entry.startInstance(id, "words", Behaviour.STREAM));
        }
        entry.awaitReady();
        await().atMost(Duration.ofSeconds(10))
                .until(() -> entry.call(STREAM_PATH, "key-1").statusCode() == 200);
    }

    @AfterAll
    void stop() throws Exception {
        entry.close();
    }

    @BeforeEach
    void forgetRequests() {
        instances.forEach(instance -> instance.receivedRequests().clear());
    }

    private static BigInteger plus(String id, int distance) {
        return new BigInteger(id).add(BigInteger.valueOf(distance));
    }

    /** Returns the head of a stream and the events from one distance to another from an id. */
    private static String stream(String requestId, String id, int first, int last) {
        StringBuilder bytes = new StringBuilder("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId
                + "\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int distance = first; distance <= last; distance++) {
            String event = "id: " + plus(id, distance) + "\ndata: d\n\n";
            bytes.append(Integer.toHexString(event.length()))
                    .append("\r\n")
                    .append(event)
                    .append("\r\n");
        }
        return bytes.toString();
    }

    private String exchange(String requestId, String lastEventId) throws Exception {
        try (RawCaller caller = new RawCaller(entry.callerPort())) {
            caller.write(RawCaller.head("POST", STREAM_PATH, requestId) + "Last-Event-Id: " + lastEventId
                    + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return caller.readToEnd();
        }
    }

    private static List<String> eventIds(String received) {
        return ID_LINE.matcher(received)
                .results()
                .map(result -> result.group(1))
                .toList();
    }

    private List<String> receivedLastEventIds() {
        List<String> received = new ArrayList<>();
        for (InstanceStandIn instance : instances) {
            for (Map<String, String> request : instance.receivedRequests()) {
                received.add(request.getOrDefault("last-event-id", "none"));
            }
        }
        return received;
    }

    @Nested
    class Resumption {

        /** Guards against events that come twice or not at all because the id of the last one was rounded. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "9007199254740993",
                    "4201858452340867098",
                    "9223372036854775806",
                    "18446744073709551614",
                    "340282366920938463463374607431768211455"
                })
        void byTheCallerGoesOnAfterTheExactEvent(String id) throws Exception {
            instances.forEach(
                    instance -> instance.setRawResponse(requestId -> stream(requestId, id, -1, 2) + LAST_CHUNK));
            String received = exchange("caller-" + id, id);
            assertThat(receivedLastEventIds()).containsExactly(id);
            assertThat(eventIds(received))
                    .containsExactly(plus(id, 1).toString(), plus(id, 2).toString());
        }

        /** Guards against the same between two instances, where the entry resumes the stream by itself. */
        @ParameterizedTest
        @ValueSource(strings = {"9007199254740993", "9223372036854775805", "18446744073709551613"})
        void byTheEntryGoesOnAfterTheExactEvent(String id) throws Exception {
            AtomicInteger sends = new AtomicInteger();
            instances.forEach(instance -> instance.setRawResponse(requestId -> sends.getAndIncrement() == 0
                    ? stream(requestId, id, 1, 3) + BROKEN_CHUNK
                    : stream(requestId, id, 3, 5) + LAST_CHUNK));
            String received = exchange("entry-" + id, id);
            assertThat(receivedLastEventIds())
                    .containsExactlyInAnyOrder(id, plus(id, 3).toString());
            assertThat(eventIds(received))
                    .containsExactly(
                            plus(id, 1).toString(),
                            plus(id, 2).toString(),
                            plus(id, 3).toString(),
                            plus(id, 4).toString(),
                            plus(id, 5).toString());
        }
    }

    @Nested
    class Refusal {

        /** Guards against a stream that goes on after another event than the one that the caller names. */
        @ParameterizedTest
        @ValueSource(strings = {"12.0", "12.7", "1e3", "-1", "+1", "NaN", "0x1p4", "5d", "12 13", "twelve"})
        void ofWhatIsNoWholeNumberIsA400(String id) throws Exception {
            instances.forEach(
                    instance -> instance.setRawResponse(requestId -> stream(requestId, "12", 1, 2) + LAST_CHUNK));
            assertThat(RawCaller.statuses(exchange("refused", id))).containsExactly("400");
            assertThat(receivedLastEventIds()).isEmpty();
        }
    }
}
