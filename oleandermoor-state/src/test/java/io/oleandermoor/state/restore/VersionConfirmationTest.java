package io.oleandermoor.state.restore;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class VersionConfirmationTest {

    private static final long WAIT_MILLIS = 2_500;

    private final VersionConfirmation versions = new VersionConfirmation();

    /** Guards against a revoked key that is accepted again because the copy holds an older version. */
    @Test
    void versionBelowAReportedOneIsNotTheNewest() {
        assertThat(versions.isNewestKnown(7)).isTrue();
        assertThat(versions.recordReported("b", 8)).isTrue();
        assertThat(versions.recordReported("c", 7)).isFalse();
        assertThat(versions.isNewestKnown(7)).isFalse();
        assertThat(versions.isNewestKnown(8)).isTrue();
    }

    @Test
    void entryThatStartsAfterRestoreWaitsForAllReports() {
        versions.awaitReports(0);
        assertThat(versions.awaitsReports(false, Set.of(), 1)).isTrue();
        assertThat(versions.awaitsReports(true, Set.of("b", "c"), 1)).isTrue();
        versions.recordReported("b", 7);
        assertThat(versions.awaitsReports(true, Set.of("b", "c"), 2)).isTrue();
        versions.recordReported("c", 0);
        assertThat(versions.awaitsReports(true, Set.of("b", "c"), 3)).isFalse();
    }

    /** Guards against an entry that never serves because a registered entry is dead. */
    @Test
    void waitForReportsEnds() {
        versions.awaitReports(0);
        assertThat(versions.awaitsReports(true, Set.of("dead"), WAIT_MILLIS - 1))
                .isTrue();
        assertThat(versions.awaitsReports(true, Set.of("dead"), WAIT_MILLIS)).isFalse();
    }

    @Test
    void entryThatSawNoRestoreDoesNotWait() {
        assertThat(versions.awaitsReports(false, Set.of(), 0)).isFalse();
    }
}
