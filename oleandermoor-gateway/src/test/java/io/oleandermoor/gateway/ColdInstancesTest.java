package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a complete entry with instances that are cold after their start and tolerate two requests a second then. */
class ColdInstancesTest {

    private static final long COLD_MILLIS = 3_000;
    private static final int MAXIMUM_BODY_BYTES = 1_000;

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
        entry.awaitReady();
        entry.store()
                .put(
                        "op/config",
                        EntryFixture.configuration(3, "\"key-1\"", MAXIMUM_BODY_BYTES)
                                .replace(
                                        "{\"name\":\"shop\"}",
                                        "{\"name\":\"shop\",\"cold-start-s\":3.0,\"cold-per-s\":2}"));
        // The number of entries is used two seconds after the registration.
        pause(2_500);
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    private static void pause(long millis) {
        await().pollDelay(Duration.ofMillis(millis)).until(() -> true);
    }

    private void startWithColdTime(InstanceStandIn instance, String id, long coldMillis) {
        entry.store()
                .put(
                        "servers/" + id,
                        instance.registration("shop", "ready", "[]")
                                .replace("\"born\":1", "\"born\":1,\"cold-remaining-ms\":" + coldMillis));
    }

    private void callForOneSecond() throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(1).toNanos();
        while (System.nanoTime() < end) {
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class DescribedAsCold {

        /** Guards against sending a cold instance more than it tolerates, and against refusing what others can take. */
        @Test
        void getsItsRateWhileAnotherInstanceGetsTheRest() throws Exception {
            InstanceStandIn warm = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            startWithColdTime(warm, "i-1", 0);
            InstanceStandIn cold = entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            startWithColdTime(cold, "i-2", 60_000);
            pause(1_500);
            callForOneSecond();
            assertThat(cold.receivedRequests()).hasSizeBetween(1, 3);
            assertThat(warm.receivedRequests()).hasSizeGreaterThan(20);
        }

        /** Guards against refusing a request for which only a cold instance is left. */
        @Test
        void servesRequestsThatNoOtherInstanceCanTake() throws Exception {
            InstanceStandIn cold = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            startWithColdTime(cold, "i-1", 60_000);
            pause(1_500);
            for (int request = 0; request < 4; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
            }
        }
    }

    @Nested
    class RestartedUnderItsIdentifier {

        /** Guards against a full rate after a restart that the list does not show yet. */
        @Test
        void isColdAfterTheNextConnection() throws Exception {
            InstanceStandIn warm = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            startWithColdTime(warm, "i-1", 0);
            InstanceStandIn restarted = entry.startInstance("i-2", "shop", Behaviour.RESET);
            startWithColdTime(restarted, "i-2", 0);
            pause(1_500);
            while (restarted.receivedRequests().isEmpty()) {
                entry.call(SAFE_PATH, "key-1");
            }
            restarted.setBehaviour(Behaviour.ANSWER);
            entry.store().put("servers/i-1", warm.registration("shop", "draining", "[]"));
            pause(1_500);
            int before = restarted.receivedRequests().size();
            callForOneSecond();
            int cold = restarted.receivedRequests().size() - before;
            assertThat(cold).isBetween(1, 4);
            pause(COLD_MILLIS);
            callForOneSecond();
            assertThat(restarted.receivedRequests().size() - before - cold).isGreaterThan(10);
        }
    }
}
