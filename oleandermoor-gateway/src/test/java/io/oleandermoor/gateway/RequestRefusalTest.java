package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.standin.RawCaller;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the order and the end of what a complete entry writes before it has received a request to its end. */
class RequestRefusalTest extends AbstractRawRequestTest {

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
}
