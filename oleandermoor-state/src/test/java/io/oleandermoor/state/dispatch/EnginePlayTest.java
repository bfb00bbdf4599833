package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EnginePlayTest {

    private static final int SEEDS = 5;
    private static final int ENTRIES = 5;
    private static final int MANY_ENTRIES = 15;
    private static final int ENGINES = 3;
    private static final long DURATION_MILLIS = 20_000;

    /** Returns the mean fraction of streams in time over several seeds. */
    private static double inTimeRatio(Set<DispatchMechanism> mechanisms, double streamsPerEngineSecond) {
        return inTimeRatio(ENTRIES, mechanisms, streamsPerEngineSecond);
    }

    private static double inTimeRatio(int entries, Set<DispatchMechanism> mechanisms, double streamsPerEngineSecond) {
        double total = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            EnginePlay play = new EnginePlay(seed, entries, ENGINES, mechanisms);
            play.run(streamsPerEngineSecond * ENGINES, DURATION_MILLIS);
            total += play.inTimeRatio();
        }
        return total / SEEDS;
    }

    private static Set<DispatchMechanism> without(DispatchMechanism mechanism) {
        return EnumSet.complementOf(EnumSet.of(mechanism));
    }

    /** Prompts at engines of which each entry has too few streams to hear how long they pause. */
    @Nested
    class WhenManyEntriesShareFewEngines {

        /** Guards against a limit of prompts that each entry keeps for itself, so that their sum pauses all streams. */
        @Test
        void commonLimitAvoidsThreeQuartersOfTheLateStreams() {
            double lateWithout = 1 - inTimeRatio(MANY_ENTRIES, without(DispatchMechanism.SHARED_PREFILL_LIMIT), 8);
            double late = 1 - inTimeRatio(MANY_ENTRIES, EnumSet.allOf(DispatchMechanism.class), 8);
            assertThat(late).isLessThan(lateWithout / 4);
        }
    }

    /** Prompts of several entries at engines that spend a third to two thirds of their time on prompts. */
    @Nested
    class WhenPromptsOfSeveralEntriesMeet {

        /** Guards against streams that pause beyond their target because entries send prompts at the same time. */
        @Test
        void mostStreamsAreInTimeAtModerateLoad() {
            assertThat(inTimeRatio(EnumSet.allOf(DispatchMechanism.class), 6)).isGreaterThan(0.9);
        }

        /** Guards against a mechanism that is worth nothing where engines are busy. */
        @Test
        void pauseDetectionAvoidsHalfOfTheLateStreamsAtHighLoad() {
            double lateWithout = 1 - inTimeRatio(without(DispatchMechanism.PREFILL_PAUSE_DETECTION), 8);
            double late = 1 - inTimeRatio(EnumSet.allOf(DispatchMechanism.class), 8);
            assertThat(late).isLessThan(lateWithout / 2);
        }
    }
}
