package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.oleandermoor.state.configuration.OpeningHours;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.TeamName;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DemandRecorderTest {

    private static final ModelName MODEL = new ModelName("drafts");
    private static final Instant MONDAY = Instant.parse("2026-11-30T00:00:00Z");
    private static final OpeningHours SHOPS =
            new OpeningHours("shops", List.of(new TeamName("drafting")), "09:00", "17:00", "UTC", List.of());

    private DemandRecorder recorder = new DemandRecorder();

    /** Records one sample per minute of the demand of a shop that is open from 9 to 17 h. */
    private void record(Instant from, Duration duration) {
        for (long minute = 0; minute < duration.toMinutes(); minute++) {
            Instant now = from.plus(Duration.ofMinutes(minute));
            recorder.recordSample(now, SHOPS.isOpenAt(now) ? Map.of(MODEL, 800.0) : Map.of());
        }
    }

    private double forecast(Instant now, List<OpeningHours> hours) {
        return recorder.forecast(now, Map.of(), hours)
                .getOrDefault(MODEL, DemandEstimate.NONE)
                .forecast();
    }

    /** Guards against a forecast that ignores an imminent opening, so that copies are loaded only after it. */
    @Test
    void forecastsOpeningFromPreviousDay() {
        record(MONDAY, Duration.ofMinutes(24 * 60 + 8 * 60 + 55));
        Instant beforeOpening = MONDAY.plus(Duration.ofMinutes(24 * 60 + 8 * 60 + 55));
        assertThat(forecast(beforeOpening, List.of(SHOPS))).isCloseTo(400, within(10.0));
        assertThat(forecast(beforeOpening, List.of())).isLessThan(300);
        assertThat(forecast(MONDAY.plus(Duration.ofHours(24 + 3)), List.of(SHOPS)))
                .isZero();
    }

    /** Guards against a new owner that ignores the history of its predecessor or counts a partial hour twice. */
    @Test
    void continuesFromRestoredArchive() {
        record(MONDAY, Duration.ofMinutes(24 * 60 + 40));
        recorder = DemandRecorder.restore(recorder.archive());
        record(MONDAY.plus(Duration.ofMinutes(24 * 60 + 40)), Duration.ofMinutes(8 * 60 + 15));
        assertThat(recorder.archive().samples()).hasSize(33).startsWith(60).allMatch(samples -> samples <= 60);
        assertThat(recorder.archive().samples().get(24)).isEqualTo(60);
        assertThat(forecast(MONDAY.plus(Duration.ofMinutes(24 * 60 + 8 * 60 + 55)), List.of(SHOPS)))
                .isCloseTo(400, within(10.0));
    }

    /** Guards against unrecorded hours that are treated as hours without demand. */
    @Test
    void ignoresIncompletelyRecordedDays() {
        record(MONDAY.plus(Duration.ofHours(10)), Duration.ofHours(1));
        record(MONDAY.plus(Duration.ofHours(24 + 10)), Duration.ofMinutes(30));
        assertThat(forecast(MONDAY.plus(Duration.ofMinutes(24 * 60 + 10 * 60 + 30)), List.of(SHOPS)))
                .isCloseTo(800, within(1.0));
    }

    /** Guards against recording that stops because a clock that was ahead had written the archive. */
    @Test
    void discardsArchivedHoursFromTheFuture() {
        record(MONDAY.plus(Duration.ofDays(30)), Duration.ofHours(2));
        recorder = DemandRecorder.restore(recorder.archive());
        record(MONDAY, Duration.ofHours(2));
        assertThat(recorder.archive().samples()).containsExactly(60, 60);
    }

    /** Guards against an archive that exceeds the maximum size of a stored value at the target fleet size. */
    @Test
    void archiveIsLimitedToRetainedHours() {
        record(MONDAY, Duration.ofDays(12));
        DemandArchive archive = recorder.archive();
        assertThat(archive.samples()).hasSizeLessThanOrEqualTo(24 * (DemandRecorder.HISTORY_DAYS + 1));
        assertThat(archive.nextHour()).isEqualTo(MONDAY.getEpochSecond() / 3600 + 12 * 24);
    }
}
