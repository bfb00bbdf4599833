package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests with a complete entry that the parts of a success come from one run. */
class SingleRunTest {

    private static final String CHUNKED = "Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String MALFORMED_CHUNK = "zz\r\n";

    private EntryFixture entry;
    private List<InstanceStandIn> instances;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    /** The responses of instances. */
    private enum Response {
        SUCCESS("200 OK", "Response-Stamp: s\r\nContent-Length: 4\r\n\r\ndone"),
        SUCCESS_NOT_EXECUTED("200 OK", "Response-Stamp: s\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\ndone"),
        NO_BODY("200 OK", "Response-Stamp: s\r\nContent-Length: 0\r\n\r\n"),
        NO_EVENT("200 OK", CHUNKED + LAST_CHUNK),
        ALL_EVENTS("200 OK", CHUNKED + events(1, 5) + LAST_CHUNK),
        ALL_EVENTS_WITHOUT_END("200 OK", CHUNKED + events(1, 5) + MALFORMED_CHUNK),
        TORN_BEHIND_UNNUMBERED_EVENT("200 OK", CHUNKED + "9\r\ndata: a\n\n\r\n" + MALFORMED_CHUNK);

        private final String status;
        private final String lines;

        Response(String status, String lines) {
            this.status = status;
            this.lines = lines;
        }

        String text(String id) {
            return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + lines;
        }

        private static String events(int first, int last) {
            return IntStream.rangeClosed(first, last)
                    .mapToObj(event -> "f\r\nid: " + event + "\ndata: " + event + "\n\n\r\n")
                    .collect(Collectors.joining());
        }
    }

    /** Starts two instances, which answer the requests that they receive together with the given responses. */
    private void startInstances(String service, Response... responses) throws Exception {
        Queue<Response> remaining = new ArrayDeque<>(List.of(responses));
        instances = List.of(
                entry.startInstance("i-1", service, Behaviour.SILENT),
                entry.startInstance("i-2", service, Behaviour.SILENT));
        entry.awaitReady();
        for (InstanceStandIn instance : instances) {
            instance.setRawResponse(id -> remaining.remove().text(id));
        }
    }

    private int sendCount() {
        return instances.stream()
                .mapToInt(instance -> instance.receivedRequests().size())
                .sum();
    }

    @Nested
    class Refusal {

        /** Guards against a run at two instances, because the first one answers with a success that denies its run. */
        @Test
        void successThatStatesNoExecutionIsNotSentAgain() throws Exception {
            startInstances("shop", Response.SUCCESS_NOT_EXECUTED, Response.SUCCESS);
            assertThat(entry.call(UNSAFE_PATH, "key-1").statusCode()).isEqualTo(502);
            assertThat(sendCount()).isEqualTo(1);
        }
    }

    @Nested
    class Stream {

        /** Returns the ids of the events of a stream that is complete, empty if the stream breaks off. */
        private Optional<List<String>> readStream() throws Exception {
            try {
                return Optional.of(entry.call(STREAM_PATH, "key-1")
                        .body()
                        .lines()
                        .filter(line -> line.startsWith("id: "))
                        .toList());
            } catch (IOException exception) {
                // The entry ends the stream without its last chunk.
                return Optional.empty();
            }
        }

        /** Guards against a success for a run that failed, because its empty body is taken for a complete stream. */
        @ParameterizedTest
        @EnumSource(
                value = Response.class,
                names = {"NO_BODY", "NO_EVENT"})
        void streamWithoutEventIsNoSuccess(Response empty) throws Exception {
            startInstances("words", empty, Response.ALL_EVENTS, empty, empty);
            assertThat(readStream()).contains(List.of("id: 1", "id: 2", "id: 3", "id: 4", "id: 5"));
            assertThat(readStream()).isEmpty();
        }

        @Test
        void requestForTheHeadAloneNeedsNoEvent() throws Exception {
            startInstances("words", Response.NO_BODY);
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + entry.callerPort() + STREAM_PATH))
                    .method("HEAD", HttpRequest.BodyPublishers.noBody())
                    .header("Authorization", "Token key-1")
                    .header("Model", "m")
                    .build();
            assertThat(entry.client()
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode())
                    .isEqualTo(200);
        }

        @Test
        void runThatGoesOnBehindTheLastEventMayHaveNone() throws Exception {
            startInstances("words", Response.ALL_EVENTS_WITHOUT_END, Response.NO_EVENT);
            assertThat(readStream()).contains(List.of("id: 1", "id: 2", "id: 3", "id: 4", "id: 5"));
        }

        /** Guards against events of two runs in one stream, because those of the first one have no ids. */
        @Test
        void unnumberedEventsAreNotFollowedByAnotherRun() throws Exception {
            startInstances("words", Response.TORN_BEHIND_UNNUMBERED_EVENT, Response.ALL_EVENTS);
            assertThat(readStream()).isEmpty();
        }
    }
}
