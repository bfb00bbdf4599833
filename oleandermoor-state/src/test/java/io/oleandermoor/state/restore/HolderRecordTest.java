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
    class WithoutEra {

        @Test
        void onlyAnotherEntryBeforeNeedsTheGap() {
            assertThat(HolderRecord.succession(Optional.empty(), "a", 0, false)).isEqualTo(Succession.IMMEDIATE);
            assertThat(HolderRecord.succession(last("a"), "a", 0, false)).isEqualTo(Succession.IMMEDIATE);
            assertThat(HolderRecord.succession(last("b"), "a", 0, false)).isEqualTo(Succession.AFTER_OTHER);
        }
    }

    @Nested
    class WithEra {

        @Test
        void firstStartOfDeploymentIsImmediate() {
            assertThat(HolderRecord.succession(Optional.empty(), "a", 1, false)).isEqualTo(Succession.IMMEDIATE);
        }

        /** Guards against two holders: the copy may be older than the record of a holder that is still valid. */
        @Test
        void missingRecordAfterRestoreNeedsTheGap() {
            assertThat(HolderRecord.succession(Optional.empty(), "a", 2, false)).isEqualTo(Succession.FIRST_OF_ERA);
            assertThat(HolderRecord.succession(Optional.empty(), "a", 1, true)).isEqualTo(Succession.FIRST_OF_ERA);
        }

        /** Guards against two holders: the record may come from the copy, and another holder have followed it. */
        @Test
        void recordOfOlderEraNeedsTheGapEvenWithTheSameEntry() {
            assertThat(HolderRecord.succession(last("a 1"), "a", 2, false)).isEqualTo(Succession.FIRST_OF_ERA);
            assertThat(HolderRecord.succession(last("a"), "a", 2, false)).isEqualTo(Succession.FIRST_OF_ERA);
        }

        @Test
        void recordOfSameEraComparesTheEntry() {
            assertThat(HolderRecord.succession(last("a 2"), "a", 2, true)).isEqualTo(Succession.IMMEDIATE);
            assertThat(HolderRecord.succession(last("b 2"), "a", 2, true)).isEqualTo(Succession.AFTER_OTHER);
        }
    }
}
