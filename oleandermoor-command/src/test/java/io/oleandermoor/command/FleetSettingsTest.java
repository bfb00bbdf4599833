package io.oleandermoor.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Configuration and settings that running daemons must obey. */
class FleetSettingsTest {

    private static final int TOKEN_MILLIS = 10;

    @Nested
    class Admission {

        private static final int BATCH = 24;

        /**
         * Guards against agents that ignore the admission policy in force, or lose waiting requests when it changes.
         */
        @Test
        void followsTheConfigurationWhileRequestsWait() throws Exception {
            try (TestFleet fleet = new TestFleet(TOKEN_MILLIS, "slots = 1", "")) {
                fleet.admission("FIRST_COME");
                List<CompletableFuture<HttpResponse<String>>> batch = new ArrayList<>();
                for (int index = 0; index < BATCH; index++) {
                    batch.add(send(fleet, TestFleet.KEY, "batch", "night " + index, 100));
                }
                await().atMost(TestFleet.SECONDS).until(() -> fleet.attempts() >= BATCH - 3);
                CompletableFuture<HttpResponse<String>> live = send(fleet, TestFleet.OTHER_KEY, "live", "day", 5);
                await().atMost(TestFleet.SECONDS).until(() -> done(batch) >= 6);
                assertThat(live.isDone()).as("overtakes under FIRST_COME").isFalse();
                fleet.admission("WEIGHTED");
                assertThat(live.get(TestFleet.SECONDS.toSeconds(), TimeUnit.SECONDS)
                                .statusCode())
                        .isEqualTo(200);
                assertThat(done(batch)).as("batch work served before live work").isLessThan(BATCH - 3);
                for (CompletableFuture<HttpResponse<String>> request : batch) {
                    assertThat(request.get(TestFleet.SECONDS.toSeconds(), TimeUnit.SECONDS)
                                    .statusCode())
                            .isEqualTo(200);
                }
            }
        }

        private static long done(List<CompletableFuture<HttpResponse<String>>> requests) {
            return requests.stream().filter(CompletableFuture::isDone).count();
        }
    }

    @Nested
    class Limits {

        /** Guards against an entry that takes requests without bound, or does not give places back. */
        @Test
        void ofRequestsInFlightRefuseMore() throws Exception {
            try (TestFleet fleet = new TestFleet(TOKEN_MILLIS, "", "requests = 2\n")) {
                List<StreamCall> streams = List.of(
                        fleet.stream(0, TestFleet.KEY, "first", 300), fleet.stream(0, TestFleet.KEY, "second", 300));
                await().atMost(TestFleet.SECONDS).until(() -> streams.stream().allMatch(call -> call.tokens() > 5));
                HttpResponse<String> refused = fleet.complete(0, TestFleet.KEY, "third", 2);
                assertThat(refused.statusCode()).isEqualTo(503);
                assertThat(refused.headers().firstValue("Retry-After")).contains("1");
                assertThat(refused.body()).contains("\"too_many_requests\"", "\"outcome\":\"not_run\"");
                assertThat(fleet.complete(1, TestFleet.KEY, "elsewhere", 2).statusCode())
                        .isEqualTo(200);
                await().atMost(TestFleet.SECONDS).until(() -> streams.stream().allMatch(StreamCall::isDone));
                // Refused, malformed and served requests all give their places back.
                for (int index = 0; index < 5; index++) {
                    assertThat(fleet.complete(0, "no such key", "later", 2).statusCode())
                            .isEqualTo(401);
                    assertThat(fleet.complete(0, TestFleet.KEY, "later", 2).statusCode())
                            .isEqualTo(200);
                }
            }
        }

        /** Guards against requests that take longer than an entry allows. */
        @Test
        void ofRequestTimeEndRequestsAndBoundWhatCallersSet() throws Exception {
            try (TestFleet fleet = new TestFleet(TOKEN_MILLIS / 2, "", "request-time = 5s\n")) {
                HttpResponse<String> late = fleet.complete(0, TestFleet.KEY, "a very long story", 3_000);
                assertThat(late.statusCode()).isEqualTo(504);
                HttpResponse<String> tooMuch = fleet.send(fleet.request(0, "/v1/chat/completions")
                        .header("Authorization", "Bearer " + TestFleet.KEY)
                        .header("X-Request-Timeout-Ms", "5001")
                        .POST(HttpRequest.BodyPublishers.ofString(TestFleet.completion("model-1", "hello", 2, false)))
                        .build());
                assertThat(tooMuch.statusCode()).isEqualTo(400);
                assertThat(tooMuch.body()).contains("from 1 to 5000", "not_run");
            }
        }

        /** Guards against agents that queue work beyond the wait that operators allow. */
        @Tag("known-red")
        @Test
        void ofQueueWaitRefuseMore() throws Exception {
            try (TestFleet fleet = new TestFleet(TOKEN_MILLIS, "slots = 1\n[limits]\nqueue-wait = 2s\n", "")) {
                List<CompletableFuture<HttpResponse<String>>> requests = new ArrayList<>();
                for (int index = 0; index < 40; index++) {
                    requests.add(send(fleet, TestFleet.KEY, "live", "crowd " + index, 100));
                }
                int served = 0;
                for (CompletableFuture<HttpResponse<String>> request : requests) {
                    HttpResponse<String> response = request.get(TestFleet.SECONDS.toSeconds(), TimeUnit.SECONDS);
                    if (response.statusCode() == 200) {
                        served++;
                    } else {
                        assertThat(response.statusCode()).isEqualTo(503);
                        assertThat(response.body()).contains("\"busy\"", "not_run");
                        assertThat(response.headers().firstValue("Retry-After")).isPresent();
                    }
                }
                assertThat(served).isBetween(3, 35);
            }
        }
    }

    private static CompletableFuture<HttpResponse<String>> send(
            TestFleet fleet, String key, String requestClass, String prompt, int tokens) {
        HttpRequest request = fleet.request(0, "/v1/chat/completions")
                .header("Authorization", "Bearer " + key)
                .header("X-Request-Class", requestClass)
                .POST(HttpRequest.BodyPublishers.ofString(TestFleet.completion("model-1", prompt, tokens, false)))
                .build();
        return fleet.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }
}
