package io.oleandermoor.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class RejoiningStreamsTest {

    private static final String LIMITED =
            "\"rate-per-s\":200,\"burst\":4000,\"unit\":\"tokens\",\"plain-tokens\":100,\"api-keys\":";

    private int nextId;

    private int status(EntryFixture entry, boolean takenUp) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + entry.callerPort() + EntryFixture.STREAM_PATH))
                .header("Request-Id", "id-" + nextId++)
                .header("Authorization", "Token key-1")
                .header("Model", "m")
                .header("Token-Count", "50,50")
                .header("Deadline-Ms", "4000")
                .POST(HttpRequest.BodyPublishers.ofString("question"));
        if (takenUp) {
            request.header("Last-Event-Id", "2").header("Resumes", "begun before the restart");
        }
        return entry.client()
                .send(request.build(), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    /** Guards against streams that cannot go on after a restart of all entries, because new ones use up the rate. */
    @Test
    void newStreamsLeaveTokensToThoseThatAreTakenUpAfterACommonStart() throws Exception {
        try (EntryFixture entry = new EntryFixture()) {
            entry.startInstance("i-1", "words", Behaviour.STREAM);
            entry.store()
                    .put(
                            "op/config",
                            EntryFixture.configuration(2, "\"key-1\"", 64 << 10).replace("\"api-keys\":", LIMITED));
            entry.awaitStarted();
            for (int attempt = 0; attempt < 60; attempt++) {
                assertThat(status(entry, true)).isIn(200, 429);
            }
            await().atMost(Duration.ofSeconds(5)).until(() -> status(entry, false) == 200);
            int begun = 0;
            while (begun < 20 && status(entry, false) == 200) {
                begun++;
            }
            assertThat(begun).isLessThan(20);
            assertThat(status(entry, true)).isEqualTo(200);
            assertThat(status(entry, true)).isEqualTo(200);
        }
    }
}
