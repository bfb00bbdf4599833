package io.oleandermoor.gateway.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.state.version.SoftwareVersion;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VersionRegistryTest {

    private static final String OLD = "v1";
    private static final String NEW = "v2";

    private VersionFixture fixture;

    @BeforeEach
    void create() throws Exception {
        fixture = new VersionFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private Optional<SoftwareVersion> findSoleVersion() throws Exception {
        return fixture.onLoop(() -> fixture.registry()
                        .findSoleVersion(VersionFixture.SERVICE)
                        .toFuture())
                .get();
    }

    @Nested
    class TheSoleVersion {

        /** Guards against an answer from before a second version came, which would join two versions. */
        @Test
        void isNotTakenFromAReadBeforeTheCall() throws Exception {
            fixture.recordElsewhere(OLD, "IN_USE");
            assertThat(findSoleVersion()).contains(new SoftwareVersion(OLD));
            fixture.recordElsewhere(NEW, "IN_USE");
            assertThat(findSoleVersion()).isEmpty();
        }

        @Test
        void isUnknownWithoutTheStore() throws Exception {
            fixture.recordElsewhere(OLD, "IN_USE");
            fixture.store().setUnavailable(true);
            assertThat(findSoleVersion()).isEmpty();
        }
    }

    @Nested
    class Records {

        /** Guards against two versions that overwrite each other's record, so that one of them seems to be alone. */
        @Test
        void ofVersionsWithTheSameHashCodeAreKeptApart() throws Exception {
            String first = "v1P";
            String second = "v21";
            assertThat(first).hasSameHashCodeAs(second);
            fixture.start();
            fixture.putInstance("old", first);
            fixture.putInstance("new", second);
            fixture.awaitRecords(2);
        }

        /** Guards against records that entries with different views write in turn. */
        @Test
        void ofAVersionWhoseInstancesAreAwayForAMomentStayAsTheyAre() throws Exception {
            fixture.start();
            fixture.putInstance("old", OLD);
            fixture.awaitRecords(1);
            String key = fixture.store().keys(VersionFixture.VERSIONS).get(0);
            String inUse = fixture.store().value(key);
            fixture.removeInstance("old");
            await().during(Duration.ofSeconds(2))
                    .atMost(VersionFixture.LIMIT)
                    .until(() -> fixture.store().value(key).equals(inUse));
        }

        @Test
        void ofAVersionWhoseInstancesHaveLeftGetALease() throws Exception {
            fixture.start();
            fixture.putInstance("old", OLD);
            fixture.awaitRecords(1);
            String key = fixture.store().keys(VersionFixture.VERSIONS).get(0);
            assertThat(fixture.store().leaseOf(key)).isZero();
            fixture.removeInstance("old");
            await().atMost(VersionFixture.LIMIT).until(() -> fixture.store().leaseOf(key) != 0);
            fixture.putInstance("old", OLD);
            await().atMost(VersionFixture.LIMIT).until(() -> fixture.store().leaseOf(key) == 0);
        }

        /** Guards against a version that is never recorded, because the answer to its first write is lost. */
        @Test
        void areInForceWhenTheAnswerToTheirWriteIsLost() throws Exception {
            fixture.start();
            fixture.store().loseNextWriteAnswer();
            fixture.putInstance("old", OLD);
            await().atMost(VersionFixture.LIMIT)
                    .until(() -> fixture.onLoop(() ->
                            fixture.registry().policy().mayBegin(VersionFixture.SERVICE, new SoftwareVersion(OLD))));
        }
    }

    @Nested
    class Changes {

        /** Guards against work for every stream whenever anything about any instance changes. */
        @Test
        void ofInstancesThatLeaveTheVersionsAsTheyAreAreNotReported() throws Exception {
            AtomicInteger reported = new AtomicInteger();
            fixture.start();
            fixture.putInstance("first", OLD);
            fixture.awaitRecords(1);
            await().atMost(VersionFixture.LIMIT).until(() -> findSoleVersion().isPresent());
            fixture.awaitUpdates();
            fixture.run(() -> fixture.registry().setChangeListener(reported::incrementAndGet));
            fixture.putInstance("second", OLD);
            fixture.awaitUpdates();
            assertThat(reported).hasValue(0);
            fixture.putInstance("third", NEW);
            await().atMost(VersionFixture.LIMIT).until(() -> reported.get() > 0);
        }
    }
}
