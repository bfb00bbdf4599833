package io.oleandermoor.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.FleetDocumentDecoder;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.state.dispatch.DispatchMechanism;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.FleetDocument;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationListenerTest {

    private static final String KEY = "op/config";
    private static final StoreReadResult NO_CHANGES = new StoreReadResult(List.of(), 0);
    /** Older than any confirmation in a test. */
    private static final long OLD_MILLIS = 60_000;

    private final DeploymentView view =
            new DeploymentView("entry-1", new InstanceTable("a", 1, EnumSet.allOf(DispatchMechanism.class)));
    private final ConfigurationListener listener =
            new ConfigurationListener(view, ConfigurationListenerTest::decodeOrFail);

    /** Fails as a decoder with a defect does when the document is the word "defect". */
    private static FleetDocument decodeOrFail(byte[] value) throws DecodeException {
        if (new String(value, StandardCharsets.UTF_8).equals("defect")) {
            throw new ArithmeticException("integer overflow");
        }
        return FleetDocumentDecoder.decode(value);
    }

    private static StoreReadResult reading(String... documents) {
        return new StoreReadResult(
                List.of(documents).stream()
                        .map(text -> new StoreItem(KEY, text.getBytes(StandardCharsets.UTF_8), 1, false))
                        .toList(),
                1);
    }

    private static String document(int version) {
        return "{\"version\":" + version + ",\"limits\":{\"max-header-bytes\":1,\"max-body-bytes\":1,"
                + "\"header-timeout-ms\":1,\"idle-timeout-ms\":1}}";
    }

    private static Timestamp old() {
        return Timestamp.now().plus(-OLD_MILLIS);
    }

    private void assertNotConfirmedByLaterWatches() {
        listener.onChanges(NO_CHANGES, Timestamp.now());
        assertThat(view.confirmationAgeMillis()).as("age of the confirmation").isGreaterThanOrEqualTo(OLD_MILLIS);
    }

    @BeforeEach
    void putVersionInForce() {
        listener.onSnapshot(reading(document(3)), old());
    }

    @Nested
    class WhenNewestVersionIsInForce {

        @Test
        void watchWithoutChangesConfirmsIt() {
            listener.onChanges(NO_CHANGES, Timestamp.now());
            assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
        }

        @Test
        void readingItAgainConfirmsIt() {
            listener.onSnapshot(reading(document(3)), Timestamp.now());
            assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
        }

        /** Guards against refusing all keys because something that uses the configuration fails when it changes. */
        @Test
        void failureOfChangeListenerDoesNotPreventConfirmation() {
            view.addChangeListener(() -> {
                throw new IllegalStateException("the listener fails");
            });
            listener.onChanges(reading(document(7)), Timestamp.now());
            assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
        }

        @Test
        void laterReadableVersionIsConfirmedAfterUnreadableOne() {
            listener.onChanges(reading("{", document(7)), Timestamp.now());
            assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
            assertThat(view.document().orElseThrow().version()).isEqualTo(7);
        }
    }

    /** Guards against a revoked key that stays in use, because the version in force is confirmed as the newest one. */
    @Nested
    class WhenNewestVersionIsNotInForce {

        @Test
        void versionBeforeUnreadableOneIsNotConfirmed() {
            listener.onChanges(reading("{"), Timestamp.now());
            assertNotConfirmedByLaterWatches();
        }

        @Test
        void versionBeforeOneThatFailsUnexpectedlyIsNotConfirmed() {
            assertThatThrownBy(() -> listener.onChanges(reading("defect"), Timestamp.now()))
                    .isInstanceOf(ArithmeticException.class);
            assertNotConfirmedByLaterWatches();
        }

        @Test
        void versionBeforeOneThatFailsUnexpectedlyInSnapshotIsNotConfirmed() {
            assertThatThrownBy(() -> listener.onSnapshot(reading("defect"), Timestamp.now()))
                    .isInstanceOf(ArithmeticException.class);
            assertNotConfirmedByLaterWatches();
        }

        @Test
        void versionBeforeLowerOneIsNotConfirmed() {
            listener.onChanges(reading(document(2)), Timestamp.now());
            assertNotConfirmedByLaterWatches();
            assertThat(view.document().orElseThrow().version()).isEqualTo(3);
        }

        @Test
        void removedVersionIsNotConfirmed() {
            StoreItem removal = new StoreItem(KEY, new byte[0], 2, true);
            listener.onChanges(new StoreReadResult(List.of(removal), 2), Timestamp.now());
            assertNotConfirmedByLaterWatches();
        }

        @Test
        void versionThatSnapshotDoesNotContainIsNotConfirmed() {
            listener.onSnapshot(NO_CHANGES, Timestamp.now());
            assertNotConfirmedByLaterWatches();
        }
    }

    /** Guards against an entry that is never ready after an operator has put a lower version back. */
    @Test
    void storeWithoutErasConfirmsVersionBelowThatOfAnotherEntry() {
        view.recordPeerVersion("entry-2", 4);
        listener.onSnapshot(reading(document(3)), Timestamp.now());
        assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
    }

    /** Guards against a revoked key that is accepted because the restored store holds an older version. */
    @Nested
    class WhenOtherEntryHasNewerVersion {

        @BeforeEach
        void stateEra() {
            view.recordEraStated();
        }

        @Test
        void storeDoesNotConfirmTheOlderVersion() {
            view.recordPeerVersion("entry-2", 4);
            listener.onSnapshot(reading(document(3)), Timestamp.now());
            assertNotConfirmedByLaterWatches();
            listener.onChanges(reading(document(4)), Timestamp.now());
            assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
        }

        /** Guards against requests that are refused whenever another entry receives a version first. */
        @Test
        void earlierConfirmationCountsUntilItIsTooOld() {
            listener.onSnapshot(reading(document(3)), Timestamp.now());
            view.recordPeerVersion("entry-2", 4);
            assertThat(view.confirmationAgeMillis()).isLessThan(OLD_MILLIS);
        }

        @Test
        void confirmationByRestoredStoreEnds() {
            view.beginRestore(true);
            listener.onSnapshot(reading(document(3)), Timestamp.now());
            view.beginRestore(true);
            view.recordPeerVersion("entry-2", 4);
            assertThat(view.confirmationAgeMillis()).isGreaterThanOrEqualTo(OLD_MILLIS);
        }

        @Test
        void entryThatStartsAfterRestoreWaitsForReports() {
            view.beginRestore(false);
            view.markInstancesLoaded();
            view.setRegistered(true);
            view.setPeers(Set.of("entry-2"));
            listener.onSnapshot(reading(document(3)), Timestamp.now());
            assertThat(view.canServe(OLD_MILLIS)).isFalse();
            view.recordPeerVersion("entry-2", 4);
            assertThat(view.canServe(OLD_MILLIS)).isFalse();
            listener.onChanges(reading(document(4)), Timestamp.now());
            assertThat(view.canServe(OLD_MILLIS)).isTrue();
        }
    }
}
