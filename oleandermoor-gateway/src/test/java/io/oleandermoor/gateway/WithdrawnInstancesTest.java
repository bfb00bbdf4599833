package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a complete entry with instances that say in their responses that they leave or want nothing for some time. */
class WithdrawnInstancesTest {

    private static final int REQUESTS = 12;
    private static final String LEAVING = "Server-Leaving: 1\r\n";

    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    /** Waits until the entry has read all instances that were registered before it was ready. */
    private static void awaitInstances() {
        pause(900);
    }

    private static void pause(long millis) {
        await().pollDelay(Duration.ofMillis(millis)).until(() -> true);
    }

    @Nested
    class Leaving {

        /** Guards against sending to an instance that leaves until the platform's list says so, too. */
        @ParameterizedTest
        @CsvSource({"ANSWER,shop", "ERROR,shop", "DECLINE,shop", "STREAM,words"})
        void nothingIsSentAfterAnyResponseThatSaysSo(Behaviour behaviour, String service) throws Exception {
            InstanceStandIn leaving = entry.startInstance("i-1", service, behaviour);
            leaving.setExtraHeaders(LEAVING);
            entry.startInstance("i-2", service, service.equals("shop") ? Behaviour.ANSWER : Behaviour.STREAM);
            entry.awaitReady();
            awaitInstances();
            String path = service.equals("shop") ? SAFE_PATH : STREAM_PATH;
            for (int request = 0; request < REQUESTS; request++) {
                assertThat(entry.call(path, "key-1").statusCode()).isEqualTo(200);
            }
            // Each response with the header is the last one of its instance.
            assertThat(leaving.receivedRequests()).hasSizeLessThanOrEqualTo(1);
        }

        @Test
        void callersAreRefusedAtOnceIfAllInstancesLeave() throws Exception {
            InstanceStandIn leaving = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            leaving.setExtraHeaders(LEAVING);
            entry.awaitReady();
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
            assertRefusedAtOnce(entry.call(SAFE_PATH, "key-1"));
            assertThat(leaving.receivedRequests()).hasSize(1);
        }

        /** Guards against treating the next process at an address like the one that has left. */
        @Test
        void nextRunAtTheSameAddressIsUsed() throws Exception {
            InstanceStandIn instance = entry.startInstance("i-1", "shop", Behaviour.ANSWER);
            instance.setExtraHeaders(LEAVING);
            entry.awaitReady();
            entry.call(SAFE_PATH, "key-1");
            instance.setExtraHeaders("");
            entry.store()
                    .put(
                            "servers/i-1",
                            instance.registration("shop", "ready", "[]").replace("\"born\":1", "\"born\":2"));
            await().atMost(Duration.ofSeconds(5))
                    .until(() -> entry.call(SAFE_PATH, "key-1").statusCode() == 200);
        }
    }

    @Nested
    class Paused {

        private static final String PAUSE = "Retry-After: 2.5\r\n";

        @Test
        void nothingIsSentBeforeThePauseEnds() throws Exception {
            InstanceStandIn paused = entry.startInstance("i-1", "shop", Behaviour.DECLINE);
            paused.setExtraHeaders(PAUSE);
            entry.awaitReady();
            HttpResponse<String> response = entry.call(SAFE_PATH, "key-1");
            assertThat(response.statusCode()).isEqualTo(503);
            paused.setBehaviour(Behaviour.ANSWER);
            paused.setExtraHeaders("");
            for (int request = 0; request < REQUESTS; request++) {
                assertRefusedAtOnce(entry.call(SAFE_PATH, "key-1"));
            }
            assertThat(paused.receivedRequests()).hasSize(1);
            pause(2_600);
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
        }

        @Test
        void otherInstancesServeInTheMeantime() throws Exception {
            InstanceStandIn paused = entry.startInstance("i-1", "shop", Behaviour.DECLINE);
            paused.setExtraHeaders(PAUSE);
            entry.startInstance("i-2", "shop", Behaviour.ANSWER);
            entry.awaitReady();
            awaitInstances();
            for (int request = 0; request < REQUESTS; request++) {
                assertThat(entry.call(SAFE_PATH, "key-1").body()).isEqualTo("done by i-2");
            }
            assertThat(paused.receivedRequests()).hasSizeLessThanOrEqualTo(1);
        }

        @ParameterizedTest
        @CsvSource({"-1", "soon", "1e999"})
        void anUnreadablePauseChangesNothing(String value) throws Exception {
            InstanceStandIn faulty = entry.startInstance("i-1", "shop", Behaviour.DECLINE);
            faulty.setExtraHeaders("Retry-After: " + value + "\r\n");
            entry.awaitReady();
            entry.call(SAFE_PATH, "key-1");
            faulty.setBehaviour(Behaviour.ANSWER);
            assertThat(entry.call(SAFE_PATH, "key-1").statusCode()).isEqualTo(200);
        }
    }

    private static void assertRefusedAtOnce(HttpResponse<String> response) {
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }
}
