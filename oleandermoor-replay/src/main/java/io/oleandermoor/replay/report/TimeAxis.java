package io.oleandermoor.replay.report;

import io.oleandermoor.replay.Timeline;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.Locale;

/** Recorded time since the start of the trace, in the notation that reads better for the length of the trace. */
enum TimeAxis {
    MINUTES("recorded time since the start of the trace, min:s", "mm:ss", 1),
    HOURS("recorded time since the start of the trace, h:min", "HH:mm", 60);

    private static final double LONG_SECONDS = 3_600;
    private static final int MAXIMUM_TICKS = 12;
    private static final int[] STEPS = {1, 2, 5, 10, 15, 30, 60, 120, 180, 240, 360, 720, 1_440};

    private final String title;
    private final String pattern;
    private final int unitSeconds;

    TimeAxis(String title, String pattern, int unitSeconds) {
        this.title = title;
        this.pattern = pattern;
        this.unitSeconds = unitSeconds;
    }

    static TimeAxis of(Timeline timeline) {
        return timeline.recordedSeconds(timeline.size()) >= LONG_SECONDS ? HOURS : MINUTES;
    }

    String title() {
        return title;
    }

    /** Returns the pattern of a date at this time after the epoch. */
    String pattern() {
        return pattern;
    }

    static List<Date> points(Timeline timeline) {
        List<Date> points = new ArrayList<>();
        for (int index = 0; index < timeline.size(); index++) {
            points.add(new Date(millis(timeline, index)));
        }
        return points;
    }

    static long millis(Timeline timeline, int index) {
        return Math.round(timeline.recordedSeconds(index) * 1_000);
    }

    /** Returns the recorded seconds between two ticks, so that at most a dozen fit. */
    int tickSeconds(Timeline timeline) {
        double units = timeline.recordedSeconds(timeline.size()) / unitSeconds;
        for (int step : STEPS) {
            if (units / step <= MAXIMUM_TICKS) {
                return step * unitSeconds;
            }
        }
        return (int) Math.ceil(units / MAXIMUM_TICKS) * unitSeconds;
    }

    String label(int recordedSeconds) {
        int units = recordedSeconds / unitSeconds;
        return String.format(Locale.ROOT, "%02d:%02d", units / 60, units % 60);
    }
}
