package io.oleandermoor.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.standin.platform.StoreFaults;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Keys that are revoked while the key-value service is down. */
class FleetRevocationTest {

    private static final Duration DETECTION = Duration.ofSeconds(3);

    private static final Duration LONG_OUTAGE = Duration.ofSeconds(15);

    private TestFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(10);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against entries that refuse valid keys in a long outage, although no revocation can be accepted then. */
    @Test
    void validKeysWorkThroughALongOutage() {
        fleet.store.setFaults(new StoreFaults(true, 0, 0, 0, "", false));
        // Longer than the 10 s after which an entry needs the reports of the others.
        await().during(LONG_OUTAGE).atMost(LONG_OUTAGE.multipliedBy(2)).until(() -> {
            for (int entry = 0; entry < TestFleet.ENTRIES; entry++) {
                if (fleet.complete(entry, TestFleet.KEY, "valid", 2).statusCode() != 200) {
                    return false;
                }
            }
            return true;
        });
    }

    /** Guards against a key that works on through an outage, and against a revocation that is lost after it. */
    @Test
    void endsTheKeyAtOnceAndIsWrittenAfterTheOutage() throws Exception {
        long before = fleet.version(0);
        StreamCall stream = fleet.stream(0, TestFleet.KEY, "a long story", 3_000);
        await().atMost(TestFleet.SECONDS).until(() -> stream.tokens() > 10);
        fleet.store.setFaults(new StoreFaults(true, 0, 0, 0, "", false));

        // The operator talks to entry 1. The command fails, because the revocation is not durable yet.
        assertThat(fleet.operator("key", "revoke", "key-one")).isEqualTo(ExitCode.FAILED);
        await().atMost(DETECTION).until(stream::isDone);
        assertThat(stream.end()).contains("key_revoked");
        for (int entry = 0; entry < TestFleet.ENTRIES; entry++) {
            assertThat(fleet.complete(entry, TestFleet.KEY, "revoked", 2).statusCode())
                    .isEqualTo(401);
            assertThat(fleet.complete(entry, TestFleet.OTHER_KEY, "valid", 2).statusCode())
                    .isEqualTo(200);
            assertThat(fleet.version(entry)).isEqualTo(before);
        }

        fleet.store.setFaults(StoreFaults.NONE);
        for (int entry = 0; entry < TestFleet.ENTRIES; entry++) {
            int index = entry;
            await("revocation is written").atMost(TestFleet.SECONDS).until(() -> fleet.version(index) == before + 1);
            assertThat(fleet.complete(entry, TestFleet.KEY, "still revoked", 2).statusCode())
                    .isEqualTo(401);
            assertThat(fleet.complete(entry, TestFleet.OTHER_KEY, "valid", 2).statusCode())
                    .isEqualTo(200);
        }
    }
}
