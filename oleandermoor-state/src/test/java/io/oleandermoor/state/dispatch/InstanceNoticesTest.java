package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what instances say about further requests, and the choices that follow from it. */
class InstanceNoticesTest {

    private static final long PAUSE_MILLIS = 2_000;
    private static final int SLOTS = 8;

    private final InstanceTable table = new InstanceTable("a", 1);
    private final UpstreamInstance first = instance("i-1", 1);
    private final UpstreamInstance second = instance("i-2", 1);

    private static UpstreamInstance instance(String id, long startedMillis) {
        return new UpstreamInstance(
                id,
                "shop",
                "10.0.0.1",
                id.hashCode() & 0xFFF,
                "a",
                SLOTS,
                false,
                OptionalLong.empty(),
                Map.of(),
                Set.of(),
                startedMillis,
                SoftwareVersion.UNSTATED);
    }

    private InstanceSelection choose(long nowMillis) {
        return table.choose(new InstanceQuery("shop", Optional.empty(), Prompt.NONE, Set.of()), nowMillis);
    }

    @Nested
    class RecordLeaving {

        @Test
        void anInstanceThatLeavesIsNotChosen() {
            table.put(first, 0);
            table.put(second, 0);
            assertThat(table.notices().recordLeaving(first, 0)).isPresent();
            assertThat(table.notices().recordLeaving(first, 1)).isEmpty();
            for (int request = 0; request < 50; request++) {
                assertThat(choose(1).instance()).contains(second);
            }
        }

        /** Guards against a late entry of the list, or its removal and return, undoing what the instance said. */
        @Test
        void listDoesNotUndoIt() {
            table.put(first, 0);
            table.notices().recordLeaving(first, 0);
            table.put(first, 1);
            assertThat(choose(1).shortage()).contains(Shortage.WITHDRAWN);
            table.remove("i-1");
            table.put(first, 2);
            assertThat(choose(2).shortage()).contains(Shortage.WITHDRAWN);
        }

        @Test
        void nextRunUnderTheSameIdentifierIsChosen() {
            table.put(first, 0);
            table.notices().recordLeaving(first, 0);
            UpstreamInstance restarted = instance("i-1", 2);
            table.put(restarted, 1);
            assertThat(choose(1).instance()).contains(restarted);
        }
    }

    @Nested
    class RecordPause {

        @Test
        void nothingIsSentBeforeThePauseEnds() {
            table.put(first, 0);
            table.notices().recordPause(first, PAUSE_MILLIS, 0);
            assertThat(choose(PAUSE_MILLIS - 1).shortage()).contains(Shortage.WITHDRAWN);
            assertThat(choose(PAUSE_MILLIS - 1).pauseEndMillis()).hasValue(PAUSE_MILLIS);
            assertThat(choose(PAUSE_MILLIS + 1).instance()).contains(first);
        }

        @Test
        void aLaterNoticeDoesNotShortenIt() {
            table.put(first, 0);
            table.notices().recordPause(first, PAUSE_MILLIS, 0);
            assertThat(table.notices().recordPause(first, 10, 100)).isEmpty();
            assertThat(choose(1_000).instance()).isEmpty();
        }

        /** Guards against an instance that gets all requests that waited as soon as its pause is over. */
        @Test
        void loadRisesAfterIt() {
            table.put(first, 0);
            table.notices().recordPause(first, PAUSE_MILLIS, 0);
            long now = PAUSE_MILLIS + 100;
            int sent = 0;
            while (choose(now).instance().isPresent()) {
                table.state("i-1").orElseThrow().requestSent();
                sent++;
            }
            assertThat(sent).isBetween(1, SLOTS / 2);
            assertThat(choose(PAUSE_MILLIS + 1_000).instance()).isPresent();
        }

        @Test
        void earliestEndIsReportedIfAllArePaused() {
            table.put(first, 0);
            table.put(second, 0);
            table.notices().recordPause(first, 2 * PAUSE_MILLIS, 0);
            table.notices().recordPause(second, PAUSE_MILLIS, 0);
            assertThat(choose(1).pauseEndMillis()).hasValue(PAUSE_MILLIS);
        }

        @Test
        void anUnreasonableLengthIsLimited() {
            table.put(first, 0);
            assertThat(table.notices().recordPause(first, -5, 0)).isEmpty();
            table.notices().recordPause(first, Long.MAX_VALUE / 2, 0);
            assertThat(choose(3_600_000).instance()).isPresent();
        }
    }
}
