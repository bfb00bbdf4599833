package io.oleandermoor.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.upstream.PoolFixture.Result;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a kept connection to an instance that writes a second response to a request, in whole or in part. */
class ExtraResponseTest {

    private static final String EARLIER = "earlier";
    private static final String BODY = "a body of sixty-four characters, which is longer than some heads";

    private PoolFixture pool;

    @BeforeEach
    void start() throws Exception {
        pool = new PoolFixture();
    }

    @AfterEach
    void stop() throws Exception {
        pool.close();
    }

    /** The order of the headers in a response, which decides what the beginning of one contains. */
    private enum HeaderOrder {
        ID_FIRST {
            @Override
            String lines(String id, String stamp) {
                return "Request-Id: " + id + "\r\nResponse-Stamp: " + stamp + "\r\n";
            }
        },
        ID_LAST {
            @Override
            String lines(String id, String stamp) {
                return "Response-Stamp: " + stamp + "\r\nRequest-Id: " + id + "\r\n";
            }
        };

        abstract String lines(String id, String stamp);

        String success(String id, String body) {
            return "HTTP/1.1 200 OK\r\n" + lines(id, "stamp-of-" + id) + "Content-Length: " + body.length() + "\r\n\r\n"
                    + body;
        }

        String failure(String id) {
            return "HTTP/1.1 500 Internal Server Error\r\n" + lines(id, "stamp-of-" + id) + "Content-Length: 0\r\n\r\n";
        }
    }

    /** Serves a request, so that the next one is sent on the same connection whatever came before. */
    private void serveEarlierRequest() throws Exception {
        pool.forgetInstance();
        pool.standIn().setRawResponse(id -> HeaderOrder.ID_LAST.success(id, "ok"));
        assertThat(pool.send(EARLIER)).isEqualTo("200");
    }

    private Result sendWith(String response) throws Exception {
        pool.standIn().setRawResponse(id -> response);
        return pool.send("current", true);
    }

    @Nested
    class BeforeTheResponse {

        /**
         * Guards against a success for a run that failed, because a copy breaks off in its head before the response.
         */
        @ParameterizedTest
        @EnumSource(HeaderOrder.class)
        void partOfHeadIsNotJoinedWithTheResponse(HeaderOrder order) throws Exception {
            String copy = order.success(EARLIER, "ok");
            for (int bytes = 0; bytes <= copy.length(); bytes++) {
                serveEarlierRequest();
                Result result = sendWith(copy.substring(0, bytes) + order.failure("current"));
                boolean whole = bytes == 0 || bytes == copy.length();
                assertThat(result.outcome())
                        .as("result behind %d of %d bytes of the copy", bytes, copy.length())
                        .isEqualTo(whole ? "500" : "OUTCOME_UNKNOWN");
            }
        }

        /** Guards against a success for a run that failed, because its failure carries no id and its copy does. */
        @Test
        void responseWithoutIdIsNotPassedOverForItsCopy() throws Exception {
            serveEarlierRequest();
            String failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            assertThat(sendWith(failure + HeaderOrder.ID_LAST.success("current", "ok"))
                            .outcome())
                    .isEqualTo("OUTCOME_UNKNOWN");
        }

        /**
         * Guards against a success for a run that failed, because the body of a copy that breaks off contains its
         * failure.
         */
        @Test
        void responseWithinTheBodyOfCopyIsNotPassedOverForItsOwnCopy() throws Exception {
            serveEarlierRequest();
            String failure = HeaderOrder.ID_LAST.failure("current");
            String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + EARLIER + "\r\nContent-Length: " + failure.length()
                    + "\r\n\r\n";
            assertThat(sendWith(head + failure + HeaderOrder.ID_LAST.success("current", "ok"))
                            .outcome())
                    .isEqualTo("OUTCOME_UNKNOWN");
        }

        /** Guards against a success for a run that failed, because a copy that breaks off takes in its failure. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 57\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                    "Content-Length: 54\r\n\r\nHTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n",
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\rHTTP/1.1 500 Internal Server Error\r\n"
                            + "Request-Id: current\r\nContent-Length: 0\r\n\r\n",
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: aHTTP/1.1 500 Internal Server Error\r\n"
                            + "Request-Id: current\r\nContent-Length: 0\r\n\r\n"
                })
        void failureWithinSkippedCopyIsNotPassedOver(String copyAndFailure) throws Exception {
            serveEarlierRequest();
            Result result = sendWith("HTTP/1.1 200 OK\r\nRequest-Id: " + EARLIER + "\r\n" + copyAndFailure
                    + HeaderOrder.ID_LAST.success("current", "ok"));
            assertThat(result.outcome()).isEqualTo("OUTCOME_UNKNOWN");
        }

        /** Guards against waiting for a response behind one that answers no request of the connection. */
        @Test
        void responseToUnknownRequestEndsTheRequest() throws Exception {
            serveEarlierRequest();
            assertThat(sendWith(HeaderOrder.ID_LAST.success("nobody", "ok")
                                    + HeaderOrder.ID_LAST.success("current", "ok"))
                            .outcome())
                    .isEqualTo("OUTCOME_UNKNOWN");
        }

        @Test
        void wholeCopyIsPassedOver() throws Exception {
            serveEarlierRequest();
            Result result =
                    sendWith(HeaderOrder.ID_LAST.success(EARLIER, "ok") + HeaderOrder.ID_LAST.success("current", BODY));
            assertThat(result).isEqualTo(new Result("200", List.of("stamp-of-current"), BODY));
        }
    }

    @Nested
    class WithinTheResponse {

        /** Guards against a body that is filled up with the bytes of a copy because the response broke off. */
        @ParameterizedTest
        @EnumSource(HeaderOrder.class)
        void copyBehindPartOfBodyIsNotPartOfIt(HeaderOrder order) throws Exception {
            String response = order.success("current", BODY);
            String copy = order.success("current", "ok");
            int headLength = response.length() - BODY.length();
            for (int bytes = headLength; bytes < response.length(); bytes++) {
                assertThat(sendWith(response.substring(0, bytes) + copy).outcome())
                        .as("result with %d of %d bytes before the copy", bytes, response.length())
                        .isEqualTo("OUTCOME_UNKNOWN");
            }
        }

        /** Guards against a response with the id of one request and the signature and body of another one. */
        @ParameterizedTest
        @EnumSource(HeaderOrder.class)
        void copyBehindPartOfHeadIsNotJoinedWithIt(HeaderOrder order) throws Exception {
            String response = order.success("current", BODY);
            for (int bytes = 1; bytes < response.length() - BODY.length(); bytes++) {
                serveEarlierRequest();
                Result result = sendWith(response.substring(0, bytes) + order.success(EARLIER, "ok"));
                assertThat(result.outcome())
                        .as("result with %d bytes before the copy", bytes)
                        .isEqualTo("OUTCOME_UNKNOWN");
            }
        }
    }

    @Nested
    class BehindTheResponse {

        /** Guards against taking the last byte of a body and the next response for a line that breaks off. */
        @Test
        void bodyThatEndsWithCarriageReturnDoesNotSpoilTheNextResponse() throws Exception {
            pool.standIn().setRawResponse(id -> HeaderOrder.ID_LAST.success(id, "ok\r"));
            for (int request = 0; request < 3; request++) {
                assertThat(pool.send("request-" + request)).isEqualTo("200");
            }
            assertThat(pool.anomalies()).isEmpty();
        }

        /** Guards against losing one request after the other to copies of the one before. */
        @Test
        void requestsAfterSpoiltResponseGetConnectionsOfTheirOwn() throws Exception {
            serveEarlierRequest();
            assertThat(sendWith("HTTP/1.1 200 O" + HeaderOrder.ID_LAST.failure("current"))
                            .outcome())
                    .isEqualTo("OUTCOME_UNKNOWN");
            int before = pool.standIn().receivedRequests().size();
            pool.standIn().setRawResponse(id -> HeaderOrder.ID_LAST.success(id, "ok"));
            for (int request = 0; request < 5; request++) {
                assertThat(pool.send("later-" + request)).isEqualTo("200");
            }
            assertThat(pool.standIn().receivedRequests())
                    .extracting(received -> received.get("connection"))
                    .satisfies(connections -> assertThat(connections.subList(before, connections.size()))
                            .doesNotHaveDuplicates());
        }

        /** Guards against sending a request on a connection on which a part of a copy has arrived. */
        @Test
        void connectionWithPartOfCopyIsNotUsedAgain() throws Exception {
            String copy = HeaderOrder.ID_LAST.success(EARLIER, "ok");
            pool.standIn().setRawResponse(id -> HeaderOrder.ID_LAST.success(id, BODY) + copy.substring(0, 20));
            assertThat(pool.send(EARLIER)).isEqualTo("200");
            await().pollDelay(Duration.ofMillis(50)).until(() -> true);
            assertThat(sendWith(HeaderOrder.ID_LAST.success("current", BODY)).outcome())
                    .isEqualTo("200");
            assertThat(pool.standIn().receivedRequests())
                    .extracting(request -> request.get("connection"))
                    .doesNotHaveDuplicates();
        }
    }
}
