package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StreamPausesTest {

    private static final long INTERVAL_MILLIS = 40;
    private static final long TARGET_MILLIS = 250;
    private static final long STREAM = 1;

    private final StreamPauses pauses = new StreamPauses();

    /** Records events at the usual interval and returns the time of the last one. */
    private long recordUsualEvents(long stream) {
        long nowMillis = 0;
        for (int event = 0; event < 50; event++) {
            nowMillis += INTERVAL_MILLIS;
            pauses.recordEvent(stream, TARGET_MILLIS, nowMillis);
        }
        return nowMillis;
    }

    @Nested
    class AnyPausing {

        @Test
        void isFalseWithoutStreams() {
            assertThat(pauses.isAnyPausing(1_000)).isFalse();
        }

        @Test
        void isTrueOnceAStreamExceedsTheUsualInterval() {
            long lastMillis = recordUsualEvents(STREAM);
            assertThat(pauses.isAnyPausing(lastMillis + INTERVAL_MILLIS)).isFalse();
            assertThat(pauses.isAnyPausing(lastMillis + 2 * INTERVAL_MILLIS)).isTrue();
        }

        /** Guards against an engine that gets no prompt any more because one of its streams has stalled. */
        @Test
        void ignoresAStreamBeyondItsTarget() {
            long lastMillis = recordUsualEvents(STREAM);
            assertThat(pauses.isAnyPausing(lastMillis + TARGET_MILLIS + 1)).isFalse();
        }

        /** Guards against an engine that gets no prompt any more because a stream has ended. */
        @Test
        void ignoresARemovedStream() {
            long lastMillis = recordUsualEvents(STREAM);
            pauses.remove(STREAM);
            assertThat(pauses.isAnyPausing(lastMillis + 2 * INTERVAL_MILLIS)).isFalse();
        }

        /** Guards against taking frequent pauses for the usual interval, so that none is detected any more. */
        @Test
        void detectsPausesThatAreFrequent() {
            long nowMillis = recordUsualEvents(STREAM);
            for (int event = 0; event < 200; event++) {
                nowMillis += event % 3 == 0 ? 3 * INTERVAL_MILLIS : INTERVAL_MILLIS;
                pauses.recordEvent(STREAM, TARGET_MILLIS, nowMillis);
            }
            assertThat(pauses.isAnyPausing(nowMillis + 2 * INTERVAL_MILLIS)).isTrue();
        }
    }
}
