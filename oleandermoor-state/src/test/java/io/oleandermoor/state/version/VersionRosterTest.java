package io.oleandermoor.state.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.version.VersionRoster.Use;
import io.oleandermoor.state.version.VersionRoster.UsedVersion;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VersionRosterTest {

    private static final String SERVICE = "words";
    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");

    private final VersionRoster roster = new VersionRoster();

    private static UsedVersion used(SoftwareVersion version, Use use) {
        return new UsedVersion(SERVICE, version, use);
    }

    private void setPresent(SoftwareVersion... versions) {
        roster.setPresent(Map.of(SERVICE, Set.of(versions)));
    }

    @Nested
    class Begin {

        /** Guards against streams of a version that no other entry can know. */
        @Test
        void aStatedVersionBeginsNoStreamBeforeItIsRecorded() {
            roster.replaceRecorded(List.of());
            assertThat(roster.mayBegin(SERVICE, NEW)).isFalse();
            setPresent(NEW);
            assertThat(roster.mayBegin(SERVICE, NEW)).isFalse();
            roster.record(used(NEW, Use.IN_USE));
            assertThat(roster.mayBegin(SERVICE, NEW)).isTrue();
        }

        /** Guards against streams whose version is forgotten while they last, because its record is about to end. */
        @Test
        void aVersionThatIsRecordedAsLeftBeginsNoStream() {
            roster.replaceRecorded(List.of(used(OLD, Use.LEFT)));
            setPresent(OLD);
            assertThat(roster.mayBegin(SERVICE, OLD)).isFalse();
            assertThat(roster.missingRecords()).containsExactly(used(OLD, Use.IN_USE));
        }

        @Test
        void anInstanceWithoutAVersionNeedsARecordOnlyBesideOthersThatStateOne() {
            assertThat(roster.mayBegin(SERVICE, SoftwareVersion.UNSTATED)).isTrue();
            setPresent(SoftwareVersion.UNSTATED, NEW);
            assertThat(roster.mayBegin(SERVICE, SoftwareVersion.UNSTATED)).isFalse();
        }
    }

    @Nested
    class GoOn {

        @Test
        void onlyTheSameStatedVersionFits() {
            setPresent(OLD, NEW, SoftwareVersion.UNSTATED);
            assertThat(roster.mayGoOn(SERVICE, OLD, OLD)).isTrue();
            assertThat(roster.mayGoOn(SERVICE, OLD, NEW)).isFalse();
            assertThat(roster.mayGoOn(SERVICE, OLD, SoftwareVersion.UNSTATED)).isFalse();
            assertThat(roster.mayGoOn(SERVICE, SoftwareVersion.UNSTATED, SoftwareVersion.UNSTATED))
                    .isFalse();
        }
    }

    @Nested
    class SoleVersion {

        @Test
        void isUnknownUntilTheRecordsAreRead() {
            setPresent(OLD);
            assertThat(roster.soleVersion(SERVICE)).isEmpty();
            roster.replaceRecorded(List.of(used(OLD, Use.IN_USE)));
            assertThat(roster.soleVersion(SERVICE)).contains(OLD);
        }

        /** Guards against the new version being taken for the one that began streams of instances that have left. */
        @Test
        void isUnknownWhileOneThatHasLeftIsRecorded() {
            roster.replaceRecorded(List.of(used(OLD, Use.LEFT), used(NEW, Use.IN_USE)));
            setPresent(NEW);
            assertThat(roster.soleVersion(SERVICE)).isEmpty();
            roster.removeRecord(SERVICE, OLD);
            assertThat(roster.soleVersion(SERVICE)).contains(NEW);
        }
    }

    @Nested
    class MissingRecords {

        @Test
        void areThoseOfVersionsThatCameOrLeft() {
            setPresent(NEW);
            assertThat(roster.missingRecords()).isEmpty();
            roster.replaceRecorded(List.of(used(OLD, Use.IN_USE)));
            assertThat(roster.missingRecords()).containsExactlyInAnyOrder(used(OLD, Use.LEFT), used(NEW, Use.IN_USE));
        }

        @Test
        void areNoneOfAServiceWithoutVersions() {
            roster.replaceRecorded(List.of());
            setPresent(SoftwareVersion.UNSTATED);
            assertThat(roster.missingRecords()).isEmpty();
        }
    }
}
