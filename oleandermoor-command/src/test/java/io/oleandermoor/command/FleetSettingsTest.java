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
