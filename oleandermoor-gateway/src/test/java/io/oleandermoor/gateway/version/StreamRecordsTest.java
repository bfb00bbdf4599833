package io.oleandermoor.gateway.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.StreamKey;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StreamRecordsTest {

    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");

    /** Eight intervals of the records. */
    private static final Duration QUIET = Duration.ofSeconds(2);

    private VersionFixture fixture;

    @BeforeEach
    void create() throws Exception {
        fixture = new VersionFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private static StreamKey key(long number) {
        return new StreamKey(number);
    }

    private void begin(long number, SoftwareVersion version) throws Exception {
        fixture.run(() -> fixture.records().recordFirstEvent(VersionFixture.SERVICE, key(number), version));
    }

    private Optional<SoftwareVersion> find(long number) throws Exception {
        return fixture.onLoop(() -> fixture.records()
                        .find(VersionFixture.SERVICE, Optional.of(key(number)))
                        .toFuture())
                .get();
    }

    private Optional<SoftwareVersion> findElsewhere(StreamRecordStore other, long number) throws Exception {
        fixture.onLoop(() -> other.read().toSingleDefault(true).toFuture()).get();
        return fixture.onLoop(() -> other.find(key(number)));
    }

    private void awaitElsewhere(long number, SoftwareVersion version) throws Exception {
        StreamRecordStore other = fixture.otherRecordStore();
        await().atMost(VersionFixture.LIMIT)
                .until(() -> findElsewhere(other, number).equals(Optional.of(version)));
    }

    private int longestValue() {
        return fixture.store().keys(VersionFixture.STREAMS).stream()
                .mapToInt(key -> fixture.store().value(key).length())
                .max()
                .orElse(0);
    }

    @Nested
    class WithOneVersion {

        @Test
        void nothingIsWrittenAndEachStreamIsOfThatVersion() throws Exception {
            fixture.start();
            fixture.putInstance("old", "v1");
            fixture.awaitRecords(1);
            begin(1, OLD);
            assertThat(find(1)).contains(OLD);
            assertThat(find(2)).contains(OLD);
            fixture.run(() -> fixture.records().publish());
            assertThat(fixture.store().keys(VersionFixture.STREAMS)).isEmpty();
        }

        /** Guards against streams that are unknown elsewhere, because they began before the second version came. */
        @Test
        void streamsAreWrittenOnceAnotherComes() throws Exception {
            fixture.start();
            fixture.putInstance("old", "v1");
            fixture.awaitRecords(1);
            begin(1, OLD);
            fixture.putInstance("new", "v2");
            awaitElsewhere(1, OLD);
        }
    }

    @Nested
    class WithTwoVersions {

        @BeforeEach
        void start() throws Exception {
            fixture.startWithTwoVersions();
        }

        @Test
        void streamsOfBothAreKnownElsewhereAndOthersAreNot() throws Exception {
            begin(1, OLD);
            begin(2, NEW);
            awaitElsewhere(1, OLD);
            awaitElsewhere(2, NEW);
            assertThat(find(3)).isEmpty();
        }

        @Test
        void aBatchWhoseAnswerIsLostIsWrittenAgain() throws Exception {
            fixture.store().loseNextWriteAnswer();
            begin(1, OLD);
            begin(2, NEW);
            awaitElsewhere(1, OLD);
            awaitElsewhere(2, NEW);
            assertThat(find(1)).contains(OLD);
        }

        /** Guards against a batch that exceeds what the store accepts as a value, and is then never written. */
        @Test
        void manyStreamsAreWrittenInSeveralValues() throws Exception {
            int count = 9_000;
            fixture.run(() -> {
                for (int number = 1; number <= count; number++) {
                    fixture.records().recordFirstEvent(VersionFixture.SERVICE, key(number), OLD);
                }
            });
            awaitElsewhere(1, OLD);
            awaitElsewhere(count, OLD);
            assertThat(longestValue()).isLessThan(40_000);
        }

        /** Guards against attempts to write that multiply with each stream that breaks off while the store is away. */
        @Test
        void aStoreThatIsAwayGetsAWriteInEachInterval() throws Exception {
            fixture.store().setUnavailable(true);
            AtomicInteger number = new AtomicInteger();
            await().pollInterval(Duration.ofMillis(50))
                    .atMost(VersionFixture.LIMIT)
                    .until(() -> {
                        begin(number.incrementAndGet(), OLD);
                        fixture.run(() -> fixture.records().publish());
                        return number.get() == 20;
                    });
            int before = fixture.store().refusedWrites();
            long start = System.nanoTime();
            await().atMost(VersionFixture.LIMIT).until(() -> System.nanoTime() - start > QUIET.toNanos());
            assertThat(fixture.store().refusedWrites() - before).isLessThan(12);
            fixture.store().setUnavailable(false);
            awaitElsewhere(20, OLD);
        }

        /** Guards against records that are lost with what a restored store has lost. */
        @Test
        void streamsAreWrittenAgainAfterARestore() throws Exception {
            fixture.store().setEra(1);
            begin(1, OLD);
            fixture.store().takeCopy();
            begin(2, NEW);
            awaitElsewhere(2, NEW);
            fixture.store().restore();
            begin(3, NEW);
            awaitElsewhere(2, NEW);
            awaitElsewhere(3, NEW);
        }
    }
}
