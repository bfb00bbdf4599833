package io.oleandermoor.replay;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.replay.report.ReplayReport;
import io.oleandermoor.replay.report.ReportOrigin;
import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.TeamName;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the samples over time and the page made of them. */
final class TimelineTest {

    private static final long SEED = 1;

    private static TraceEvent.Request request(long millis) {
        return new TraceEvent.Request(
                millis,
                new TeamName("team"),
                RequestClass.LIVE,
                new ModelName("model"),
                Optional.empty(),
                10,
                10,
                1,
                1_000,
                true,
                false);
    }

    /** Guards against memory that grows with the trace, and against samples that are lost when intervals are merged. */
    @Test
    void staysBoundedAndKeepsTheSums() {
        TimelineRecorder recorder = new TimelineRecorder(0);
        Deployment deployment = Site.CYMRU_WEST.deployment(1);
        int requests = 0;
        for (long millis = 1; millis < 1_000_000; millis += 250) {
            recorder.entitled(request(millis), millis);
            recorder.modelLoaded(millis);
            requests++;
        }
        Timeline timeline = recorder.timeline(deployment);
        assertThat(timeline.size()).isBetween(TimelineRecorder.MAXIMUM_SAMPLES / 2, TimelineRecorder.MAXIMUM_SAMPLES);
        assertThat(timeline.modelMoves().stream().mapToLong(Long::longValue).sum())
                .isEqualTo(requests);
    }

    /** Guards against plots that disagree with the table of figures, and against pages that differ between runs. */
    @Test
    void agreesWithTheFiguresAndIsDeterministic(@TempDir Path directory) throws Exception {
        Path first = directory.resolve("first.html");
        Path second = directory.resolve("second.html");
        Timeline timeline = report(first);
        assertThat(report(second)).isEqualTo(timeline);
        assertThat(Files.readString(second)).isEqualTo(Files.readString(first));
        assertThat(Files.readString(first))
                .contains("a &lt;trace&gt;", "routing AFFINITY", "the command", "0.1", "data:image/png;base64,")
                .doesNotContain("http:", "https:");
    }

    private static Timeline report(Path file) throws Exception {
        TraceGenerator trace = new TraceGenerator(Site.CYMRU_WEST, Scenario.DOMAIN_LOSS, SEED);
        ReplayRunner runner = new ReplayRunner(trace, Policies.STANDARD, SEED);
        ReplayResult result = runner.run();
        Timeline timeline = runner.timeline();
        assertThat(timeline.modelMoves().stream().mapToLong(Long::longValue).sum())
                .isEqualTo(result.moves())
                .isPositive();
        assertThat(timeline.residency()).allMatch(copies -> !copies.isEmpty());
        ReportOrigin origin = new ReportOrigin("a <trace>", "1", "the command", "0.1");
        new ReplayReport(origin, Policies.STANDARD, trace.deployment(), result, timeline).write(file);
        return timeline;
    }
}
