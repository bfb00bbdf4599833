package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests a complete entry with requests that may run only in some regions. */
class AllowedRegionsTest {

    private static final String KEY = "key-1";

    /** Guards against a request or resumed stream that leaves its region, because the instance there fails. */
    @Test
    void restrictedRequestsStayInTheirRegionOrAreRefusedAtOnce() throws Exception {
        try (EntryFixture entry = new EntryFixture()) {
            entry.startInstance("i-1", "words", Behaviour.TEAR_STREAM);
            InstanceStandIn home = entry.startInstance("i-2", "words", Behaviour.STREAM);
            InstanceStandIn away = entry.startInstance("i-3", "words", Behaviour.STREAM, "b");
            InstanceStandIn shopAway = entry.startInstance("i-4", "shop", Behaviour.ANSWER, "b");
            entry.awaitReady();
            String configuration = EntryFixture.configuration(3, "\"" + KEY + "\"", 1 << 16);
            entry.store()
                    .put(
                            "op/config",
                            configuration.replace("\"api-keys\":", "\"allowed-regions\":[\"home\"],\"api-keys\":"));
            await().pollDelay(Duration.ofMillis(900)).until(() -> true);
            for (int request = 0; request < 8; request++) {
                assertThat(entry.call(STREAM_PATH, KEY).statusCode()).isEqualTo(200);
            }
            assertThat(home.receivedRequests()).anyMatch(request -> request.containsKey("last-event-id"));
            long startNanos = System.nanoTime();
            assertThat(entry.call(SAFE_PATH, KEY).statusCode()).isEqualTo(503);
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofMillis(1_500));
            assertThat(away.receivedRequests()).isEmpty();
            assertThat(shopAway.receivedRequests()).isEmpty();
        }
    }
}
