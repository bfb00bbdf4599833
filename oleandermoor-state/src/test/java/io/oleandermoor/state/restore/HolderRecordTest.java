package io.oleandermoor.state.restore;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.restore.HolderRecord.Succession;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HolderRecordTest {

    private static Optional<HolderRecord> last(String text) {
        return Optional.of(HolderRecord.parse(text));
    }

    @Nested
    class Text {

        @Test
        void keepsEntryAndEra() {
            assertThat(HolderRecord.parse(new HolderRecord("gw-1", 3).text())).isEqualTo(new HolderRecord("gw-1", 3));
            assertThat(HolderRecord.parse("gw-1")).isEqualTo(new HolderRecord("gw-1", HolderRecord.NO_ERA));
        }

        /** Guards against a changed format for deployments whose store states no era. */
        @Test
        void isTheEntryAloneWithoutEra() {
            assertThat(new HolderRecord("gw-1", HolderRecord.NO_ERA).text()).isEqualTo("gw-1");
        }
    }

    @Nested
    class FencingToken {

        /** Guards against a token below an earlier one when revisions go back. */
        @Test
        void risesWithTheEraAlthoughRevisionsGoBack() {
            assertThat(HolderRecord.fencingToken(2, 1)).isGreaterThan(HolderRecord.fencingToken(1, 1_000_000_000));
            assertThat(HolderRecord.fencingToken(1, 1)).isGreaterThan(HolderRecord.fencingToken(0, 1_000_000_000));
            assertThat(HolderRecord.fencingToken(HolderRecord.NO_ERA, 17)).isEqualTo(17);
        }
    }

    @Nested
    class FollowingTheMachineBefore {

        /** Guards against two holders: an attempt to acquire the right must not pass for orders that were given. */
        @Test
        void isImmediateOnlyForTheMachineThatGaveTheLastOrders() {
            assertThat(HolderRecord.succession(last("a"), "a", 0)).isEqualTo(Succession.IMMEDIATE);
            assertThat(HolderRecord.succession(last("b"), "a", 0)).isEqualTo(Succession.AFTER_OTHER);
            assertThat(HolderRecord.succession(last("a 2"), "a", 2)).isEqualTo(Succession.IMMEDIATE);
            assertThat(HolderRecord.succession(last("b 1"), "a", 1)).isEqualTo(Succession.AFTER_OTHER);
        }

        /** Guards against two holders: a delayed call from before the restore may have ended the right of the other. */
        @Test
        void isAfterAnUnknownMachineInARestoredStore() {
            assertThat(HolderRecord.succession(last("b 2"), "a", 2)).isEqualTo(Succession.AFTER_UNKNOWN);
        }

        /** Guards against two holders: the record may have been removed, or the copy be older than it. */
        @Test
        void isAfterAnUnknownMachineWithoutARecord() {
            for (long era : new long[] {0, 1, 2}) {
                assertThat(HolderRecord.succession(Optional.empty(), "a", era)).isEqualTo(Succession.AFTER_UNKNOWN);
            }
        }

        /** Guards against two holders: the record may come from the copy, and another holder have followed it. */
        @Test
        void isAfterAnUnknownMachineWithARecordOfAnotherEra() {
            assertThat(HolderRecord.succession(last("a 1"), "a", 2)).isEqualTo(Succession.AFTER_UNKNOWN);
            assertThat(HolderRecord.succession(last("a"), "a", 2)).isEqualTo(Succession.AFTER_UNKNOWN);
            assertThat(HolderRecord.succession(last("a 1"), "a", 0)).isEqualTo(Succession.AFTER_UNKNOWN);
        }

        @Test
        void waitsForTheLeaseOfAnUnknownMachineAsWell() {
            assertThat(Succession.IMMEDIATE.waitMillis(3_000, 2_000)).isZero();
            assertThat(Succession.AFTER_OTHER.waitMillis(3_000, 2_000)).isEqualTo(3_000);
            assertThat(Succession.AFTER_UNKNOWN.waitMillis(3_000, 2_000)).isEqualTo(5_000);
        }
    }
}
