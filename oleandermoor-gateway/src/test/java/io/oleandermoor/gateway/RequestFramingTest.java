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
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests where a complete entry takes the end of a caller's request to be. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RequestFramingTest {

    private static final String OUTER_ID = "outer";
    private static final String INNER_ID = "inner";
    /** A request that runs if the body that contains it, or precedes it, is taken to end before it. */
    private static final String INNER_REQUEST =
            RawCaller.head("POST", UNSAFE_PATH, INNER_ID) + "Content-Length: 0\r\nConnection: close\r\n\r\n";

    private static final String CHUNKED_BODY = "4\r\nbody\r\n0\r\n\r\n";

    private EntryFixture entry;
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

    private String exchange(String text) throws IOException {
        try (RawCaller caller = new RawCaller(entry.callerPort())) {
            caller.write(text);
            return caller.readToEnd();
        }
    }

    /** Returns the ids of the requests that ran, each with its body. */
    private List<String> executed() {
        List<String> executed = new ArrayList<>();
        for (InstanceStandIn instance : List.of(shop, words)) {
            for (Map<String, String> request : instance.receivedRequests()) {
                executed.add(request.get("request-id") + "=" + request.get("body"));
            }
        }
        return executed;
    }

    private void assertRefused(String text) throws IOException {
        String received = exchange(text);
        assertThat(RawCaller.statuses(received)).as(received).containsExactly("400");
        assertThat(received).containsIgnoringCase("\r\nconnection: close\r\n").doesNotContain("(reset)");
        assertThat(executed()).isEmpty();
    }

    private void assertBothServed(String text) throws IOException {
        String received = exchange(text + INNER_REQUEST);
        assertThat(RawCaller.statuses(received)).as(received).containsExactly("200", "200");
        assertThat(executed()).containsExactly(OUTER_ID + "=body", INNER_ID + "=");
    }

    private static String outerHead(String path, String framing) {
        return RawCaller.head("POST", path, OUTER_ID) + framing.translateEscapes() + "\r\n\r\n";
    }

    /** Guards against a body whose text runs as a request of its own, because its length cannot be told. */
    @Nested
    class UnsoundHead {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip",
                    "Transfer-Encoding: identity",
                    "Transfer-Encoding: xchunked",
                    "Transfer-Encoding: chunked;a=b",
                    "Transfer-Encoding: chunked;",
                    "Transfer-Encoding: \"chunked\"",
                    "Transfer-Encoding: chunked gzip",
                    "Transfer-Encoding: chun\r\n ked",
                    "Transfer-Encoding: chunked\u00a0",
                    "Transfer-Encoding: chunked, identity",
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
                    "Transfer-Encoding:",
                    "Transfer-Encoding: ,",
                    "Transfer-Encoding : chunked",
                    "Transfer-Encoding: \u000bchunked"
                })
        void withoutALengthIsRefused(String framing) throws Exception {
            assertRefused(outerHead(UNSAFE_PATH, framing) + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: chunked, chunked",
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                    "Transfer-Encoding: a;x=\", chunked",
                    "Transfer-Encoding: a;x=\"b\\\\\", chunked",
                    "Transfer-Encoding: @, chunked",
                    "Transfer-Encoding: gz ip, chunked",
                    "Transfer-Encoding: chunked\r\nContent-Length: 4",
                    "Content-Length: 4\r\nTransfer-Encoding: chunked",
                    "Content-Length: 4\r\nTransfer-Encoding: identity",
                    "Content-Length: 4\r\nTransfer-Encoding: gzip",
                    "Content-Length: 4\r\nTransfer-Encoding:",
                    "Content-Length: 4\r\nContent-Length: 5",
                    "Content-Length: +4",
                    "Content-Length: 4 4",
                    "Content-Length: 0x4",
                    "Content-Length:",
                    "Content-Length : 4",
                    "Content-Length: 18446744073709551620",
                    "X: y\rContent-Length: 4"
                })
        void thatCanBeReadInTwoWaysIsRefused(String framing) throws Exception {
            assertRefused(outerHead(UNSAFE_PATH, framing) + CHUNKED_BODY + INNER_REQUEST);
        }

        @ParameterizedTest
        @CsvSource({
            "HTTP/1.0, Transfer-Encoding: chunked",
            "HTTP/1.0, Transfer-Encoding: gzip",
            "HTTP/0.9, Content-Length: 4",
            "HTTP/2.0, Content-Length: 4"
        })
        void ofAVersionWithoutSuchFramingIsRefused(String version, String framing) throws Exception {
            String head = outerHead(UNSAFE_PATH, framing + "\r\nConnection: keep-alive");
            assertRefused(head.replace("HTTP/1.1", version) + CHUNKED_BODY + INNER_REQUEST);
        }

        /** A success in response to CONNECT has no body, whatever its headers say, and ends HTTP on its connection. */
        @Test
        void ofATunnelIsRefused() throws Exception {
            String head = outerHead(UNSAFE_PATH, "Content-Length: 4");
            assertRefused(head.replace("POST ", "CONNECT ") + "body" + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(strings = {SAFE_PATH, STREAM_PATH, "/no-such-route/x"})
        void isRefusedOnEveryRoute(String path) throws Exception {
            assertRefused(outerHead(path, "Transfer-Encoding: gzip") + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(strings = {"key-2", ""})
        void isRefusedWhateverItsKey(String key) throws Exception {
            String head = outerHead(UNSAFE_PATH, "Transfer-Encoding: gzip");
            assertRefused(head.replace("key-1", key) + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 7})
        void isRefusedHoweverItArrives(int partBytes) throws Exception {
            String text = outerHead(UNSAFE_PATH, "Transfer-Encoding: gzip");
            try (RawCaller caller = new RawCaller(entry.callerPort())) {
                for (int start = 0; start < text.length(); start += partBytes) {
                    caller.write(text.substring(start, Math.min(text.length(), start + partBytes)));
                }
                assertThat(RawCaller.statuses(caller.readToEnd())).containsExactly("400");
            }
            assertThat(executed()).isEmpty();
        }
    }

    /** Guards against a chunk that ends elsewhere for another parser, so that its data runs as a request. */
    @Nested
    class UnsoundChunk {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    " 4\\r\\nbody\\r\\n0",
                    "\\t4\\r\\nbody\\r\\n0",
                    "\\0014\\r\\nbody\\r\\n0",
                    "4 \\r\\nbody\\r\\n0",
                    "4 5\\r\\nbody\\r\\n0",
                    "4\\0015\\r\\nbody\\r\\n0",
                    "4\\0015;a=b\\r\\nbody\\r\\n0",
                    "4\\r\\r\\nbody\\r\\n0",
                    "4\\r\\nbody\\r\\n0 ",
                    "4\\r\\nbody\\r\\n 0",
                    "4\\r\\nbody\\r\\n0 5",
                    "100000004\\r\\nbody\\r\\n0",
                    "10000000000000004\\r\\nbody\\r\\n0",
                    "80000004\\r\\nbody\\r\\n0",
                    "0x4\\r\\nbody\\r\\n0",
                    "-4\\r\\nbody\\r\\n0",
                    "\\r\\nbody\\r\\n0",
                    ";a\\r\\nbody\\r\\n0",
                    "4\\nbody\\r\\n0",
                    "4;a\\nb\\r\\nbody\\r\\n0",
                    "4;a\\r\\r\\nbody\\r\\n0",
                    "4;\\r\\r\\nbody\\r\\n0",
                    "4;a=\"\\r\\n\"\\r\\nbody\\r\\n0",
                    "4;=\\r\\nbody\\r\\n0",
                    "4\\r\\nbody\\n0",
                    "4\\r\\nbodyX\\r\\n0",
                    "4\\r\\nbody0",
                    "4\\r\\nbody\\r\\n0\\r\\nno-colon",
                    "4\\r\\nbody\\r\\n0\\r\\nx : y",
                    "4\\r\\nbody\\r\\n0\\r\\n x: y",
                    "4\\r\\nbody\\r\\n0\\r\\nx: y\\rz"
                })
        void isRefused(String chunks) throws Exception {
            assertRefused(outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked") + chunks.translateEscapes() + "\r\n\r\n"
                    + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(strings = {SAFE_PATH, STREAM_PATH, "/no-such-route/x"})
        void isRefusedOnEveryRoute(String path) throws Exception {
            assertRefused(outerHead(path, "Transfer-Encoding: chunked") + "4 5\r\nbody\r\n0\r\n\r\n" + INNER_REQUEST);
        }
    }

    /** Guards against refusing chunks that RFC 9112 permits. */
    @Nested
    class SoundChunks {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "4;a\\r\\nbody\\r\\n0",
                    "4;a=b;c=\"d;\\\\\"e\"\\r\\nbody\\r\\n0;f",
                    "4 \\t;\\ta = b\\r\\nbody\\r\\n0",
                    "0000000000000000004\\r\\nbody\\r\\n000",
                    "1\\r\\nb\\r\\n3\\r\\nody\\r\\n0",
                    "4\\r\\nbody\\r\\n0\\r\\nx: y\\r\\nz:",
                    "4\\r\\nbody\\r\\n0\\r\\nContent-Length: 9\\r\\nTransfer-Encoding: gzip"
                })
        void areServed(String chunks) throws Exception {
            assertBothServed(
                    outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked") + chunks.translateEscapes() + "\r\n\r\n");
        }

        /** The data of a chunk may look like the end of the body and a request. */
        @Test
        void containAnyData() throws Exception {
            String data = "\r\n0\r\n\r\n" + INNER_REQUEST;
            exchange(outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked\r\nConnection: close")
                    + Integer.toHexString(data.length()).toUpperCase(Locale.ROOT) + "\r\n" + data + "\r\n0\r\n\r\n");
            assertThat(executed()).containsExactly(OUTER_ID + "=" + data);
        }
    }

    @Nested
    class Refusal {

        private static final String UNSOUND = "Transfer-Encoding: gzip";
        private static final String KEEP_OPEN = "Content-Length: 0";
        private static final int UNREAD_BYTES = 4 << 20;

        /** Guards against requests that ran, but whose callers get no answer, because a malformed one follows them. */
        @Test
        void followsTheResponsesToEarlierRequests() throws Exception {
            String earlier = RawCaller.head("POST", UNSAFE_PATH, "earlier-1") + KEEP_OPEN + "\r\n\r\n"
                    + RawCaller.head("POST", SAFE_PATH, "earlier-2") + KEEP_OPEN + "\r\n\r\n";
            String received = exchange(earlier + outerHead(UNSAFE_PATH, UNSOUND) + INNER_REQUEST);
            assertThat(RawCaller.statuses(received)).as(received).containsExactly("200", "200", "400");
            assertThat(executed()).containsExactly("earlier-1=", "earlier-2=");
        }

        /**
         * Guards against a refusal that the caller takes for the response to an earlier request, which runs, and
         * against a body that runs as a request behind it.
         */
        @ParameterizedTest
        @CsvSource({
            "413, Content-Length: 65537",
            "413, Content-Length: 65537\\r\\nExpect: 100-continue",
            "413, Content-Length: 18446744073",
            "417, Content-Length: 4\\r\\nExpect: 102-processing",
            "417, Transfer-Encoding: chunked\\r\\nExpect: 102-processing"
        })
        void ofAHeadFollowsTheResponsesToEarlierRequests(String status, String framing) throws Exception {
            String earlier = RawCaller.head("POST", UNSAFE_PATH, "earlier") + KEEP_OPEN + "\r\n\r\n";
            String refused = outerHead(UNSAFE_PATH, framing) + CHUNKED_BODY + INNER_REQUEST;
            try (RawCaller caller = new RawCaller(entry.callerPort())) {
                caller.write(earlier + refused);
                assertThat(caller.read("HTTP/1.1 " + status)).startsWith("HTTP/1.1 200");
            }
            assertThat(executed()).containsExactly("earlier=");
        }

        @Test
        void ofALongBodyFollowsTheResponsesToEarlierRequests() throws Exception {
            String earlier = RawCaller.head("POST", UNSAFE_PATH, "earlier") + KEEP_OPEN + "\r\n\r\n";
            String chunks = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
            String refused = outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked") + chunks.repeat(3) + "0\r\n\r\n";
            String received = exchange(earlier + refused + INNER_REQUEST);
            assertThat(RawCaller.statuses(received)).as(received).containsExactly("200", "413");
            assertThat(executed()).containsExactly("earlier=");
        }

        /** Guards against a reset that destroys the refusal, because the connection closes with unread bytes. */
        @Test
        void reachesACallerThatGoesOnSending() throws Exception {
            try (RawCaller caller = new RawCaller(entry.callerPort())) {
                caller.write(outerHead(UNSAFE_PATH, UNSOUND));
                caller.write("x".repeat(UNREAD_BYTES));
                String received = caller.readToEnd();
                assertThat(RawCaller.statuses(received)).containsExactly("400");
                assertThat(received).doesNotContain("(reset)");
            }
        }

        /** Guards against a request that runs although the response that ends its connection is already written. */
        @Test
        void isFollowedByNoRequest() throws Exception {
            String closing = outerHead(UNSAFE_PATH, "Content-Length: 4\r\nConnection: close") + "body";
            assertThat(RawCaller.statuses(exchange(closing + INNER_REQUEST))).containsExactly("200");
            assertThat(executed()).containsExactly(OUTER_ID + "=body");
        }
    }

    @Nested
    class ExpectedContinue {

        private static final String EXPECT = "Content-Length: 4\r\nExpect: 100-continue";

        /** Guards against an interim response in front of the response to an earlier request. */
        @Test
        void followsTheResponsesToEarlierRequests() throws Exception {
            String earlier = RawCaller.head("POST", UNSAFE_PATH, "earlier") + "Content-Length: 0\r\n\r\n";
            try (RawCaller caller = new RawCaller(entry.callerPort())) {
                caller.write(earlier + outerHead(UNSAFE_PATH, EXPECT));
                assertThat(caller.read("HTTP/1.1 100 Continue\r\n\r\n")).startsWith("HTTP/1.1 200");
                caller.write("body" + INNER_REQUEST);
                assertThat(RawCaller.statuses(caller.readToEnd())).containsExactly("200", "200");
            }
            assertThat(executed()).containsExactly("earlier=", OUTER_ID + "=body", INNER_ID + "=");
        }
    }

    @Nested
    class ReadinessCheck {

        /** Guards against a body that counts as readiness checks, or a request for metrics, of its own. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip\\r\\n\\r\\n",
                    "Transfer-Encoding: gzip\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n4 5\\r\\nbody\\r\\n0\\r\\n\\r\\n"
                })
        void withoutACertainEndIsRefused(String framingAndBody) throws Exception {
            try (RawCaller caller = new RawCaller(entry.readyPort())) {
                caller.write(RawCaller.head("GET", "/api/ready", OUTER_ID) + framingAndBody.translateEscapes()
                        + "GET /metrics HTTP/1.1\r\n\r\n");
                assertThat(RawCaller.statuses(caller.readToEnd())).containsExactly("400");
            }
        }
    }

    /** Guards against refusing, or reading otherwise, what RFC 9112 permits. */
    @Nested
    class SoundHead {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: chunked",
                    "Transfer-Encoding:chunked",
                    "transfer-encoding: Chunked",
                    "Transfer-Encoding: \t CHUNKED \t ",
                    "Transfer-Encoding: gzip, chunked",
                    "Transfer-Encoding: gzip;a=b , chunked",
                    "Transfer-Encoding: a;x=\"p, chunked\" , chunked",
                    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                    "Transfer-Encoding: , ,chunked",
                    "Transfer-Encoding: chunked ,",
                    "Transfer-Encoding: chunked\r\nTrailer: x",
                    "Transfer-Encoding: chunked\r\nConnection: Transfer-Encoding"
                })
        void withChunksIsServed(String framing) throws Exception {
            assertBothServed(outerHead(UNSAFE_PATH, framing) + CHUNKED_BODY);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 4",
                    "content-length:4",
                    "Content-Length: \t 4 \t ",
                    "Content-Length: 0004",
                    "Content-Length: 4\r\nConnection: Content-Length",
                    "Content-Length: 4\r\nX: a\r\n Transfer-Encoding: gzip"
                })
        void withALengthIsServed(String framing) throws Exception {
            assertBothServed(outerHead(UNSAFE_PATH, framing) + "body");
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.0", "HTTP/1.2"})
        void ofAnotherMinorVersionIsServed(String version) throws Exception {
            String head = outerHead(UNSAFE_PATH, "Content-Length: 4\r\nConnection: keep-alive");
            assertBothServed(head.replace("HTTP/1.1", version) + "body");
        }
    }
}
