package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import io.oleandermoor.gateway.standin.RawCaller;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInstance;

/** Sends bytes of a caller's choice to a complete entry, whose instances record what runs. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class AbstractRawRequestTest {

    static final String OUTER_ID = "outer";
    static final String INNER_ID = "inner";
    /** A request that runs if the body that contains it, or precedes it, is taken to end before it. */
    static final String INNER_REQUEST =
            RawCaller.head("POST", UNSAFE_PATH, INNER_ID) + "Content-Length: 0\r\nConnection: close\r\n\r\n";

    static final String CHUNKED_BODY = "4\r\nbody\r\n0\r\n\r\n";

    EntryFixture entry;
    private InstanceStandIn shop;
    private InstanceStandIn words;

    @BeforeAll
    void start() throws Exception {
        entry = new EntryFixture();
        shop = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
        words = entry.startInstance("i-2", "words", Behaviour.STREAM);
        entry.awaitReady();
        await().atMost(Duration.ofSeconds(10))
                .until(() -> entry.call(SAFE_PATH, "key-1").statusCode() == 200
                        && entry.call(STREAM_PATH, "key-1").statusCode() == 200);
    }

    @AfterAll
    void stop() throws Exception {
        entry.close();
    }

    @BeforeEach
    void forgetRequests() {
        shop.receivedRequests().clear();
        words.receivedRequests().clear();
    }

    /** Sends a text on a connection of its own and returns what is received until the connection ends. */
    String exchange(String text) throws IOException {
        try (RawCaller caller = new RawCaller(entry.callerPort())) {
            caller.write(text);
            return caller.readToEnd();
        }
    }

    /** Returns the ids of the requests that ran, each with its body. */
    List<String> executed() {
        List<String> executed = new ArrayList<>();
        for (InstanceStandIn instance : List.of(shop, words)) {
            for (Map<String, String> request : instance.receivedRequests()) {
                executed.add(request.get("request-id") + "=" + request.get("body"));
            }
        }
        return executed;
    }

    void assertRefused(String text) throws IOException {
        String received = exchange(text);
        assertThat(RawCaller.statuses(received)).as(received).containsExactly("400");
        assertThat(received).containsIgnoringCase("\r\nconnection: close\r\n").doesNotContain("(reset)");
        assertThat(executed()).isEmpty();
    }

    void assertBothServed(String text) throws IOException {
        String received = exchange(text + INNER_REQUEST);
        assertThat(RawCaller.statuses(received)).as(received).containsExactly("200", "200");
        assertThat(executed()).containsExactly(OUTER_ID + "=body", INNER_ID + "=");
    }

    /** Returns the head of a request with lines about its body, in which escapes are translated. */
    static String outerHead(String path, String framing) {
        return RawCaller.head("POST", path, OUTER_ID) + framing.translateEscapes() + "\r\n\r\n";
    }
}
