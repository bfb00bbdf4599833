package io.oleandermoor.replay.report;

import io.oleandermoor.replay.Deployment;
import io.oleandermoor.replay.Policies;
import io.oleandermoor.replay.Refusal;
import io.oleandermoor.replay.ReplayResult;
import io.oleandermoor.replay.Timeline;
import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.identity.TeamName;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/** One HTML page with the plots and figures of one replay. Equal arguments give equal pages on one machine. */
public final class ReplayReport {

    private final ReportOrigin origin;
    private final Policies policies;
    private final Deployment deployment;
    private final ReplayResult result;
    private final Timeline timeline;

    /**
     * Creates a report.
     *
     * @param origin where the figures come from
     * @param policies the policies of the replay
     * @param deployment the header of the trace
     * @param result the figures
     * @param timeline the samples over time
     */
    public ReplayReport(
            ReportOrigin origin, Policies policies, Deployment deployment, ReplayResult result, Timeline timeline) {
        this.origin = Objects.requireNonNull(origin, "origin");
        this.policies = Objects.requireNonNull(policies, "policies");
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.result = Objects.requireNonNull(result, "result");
        this.timeline = Objects.requireNonNull(timeline, "timeline");
    }

    /**
     * Writes the page.
     *
     * @param file the file, replaced if it exists
     * @throws IOException if it cannot be written
     */
    public void write(Path file) throws IOException {
        page().write(file);
    }

    private HtmlPage page() throws IOException {
        HtmlPage page = new HtmlPage("Replay of " + deployment.name());
        page.facts(originRows());
        if (result.violations().isEmpty()) {
            page.note("All invariants hold.");
        } else {
            result.violations().forEach(violation -> page.problem("Broken invariant: " + violation));
        }
        figures(page);
        plots(page);
        return page;
    }

    private List<List<String>> originRows() {
        return List.of(
                List.of("trace", origin.trace()),
                List.of(
                        "deployment",
                        String.format(
                                Locale.ROOT,
                                "%d entries, %d engines, %d models, %d adapters, %d teams; %d recorded seconds for each"
                                        + " replayed second",
                                deployment.entries(),
                                deployment.engines().size(),
                                deployment.models().size(),
                                deployment.adapters().size(),
                                deployment.teams().size(),
                                deployment.timeFactor())),
                List.of("seed", origin.seeds()),
                List.of("policies", policies.toText()),
                List.of("command", origin.command()),
                List.of("version", origin.version()));
    }

    private void figures(HtmlPage page) {
        page.heading("Figures");
        page.facts(List.of(
                List.of("requests, answered", result.requests() + ", " + result.answered()),
                List.of("attained tokens/s for each accelerator", number(result.attainedPerAccelerator(), 1)),
                List.of("worst-served team, in relation to the mean", number(result.worstServed(), 3)),
                List.of(
                        "wrongful refusals, by the rate decision",
                        result.wrongfulRefusals() + ", " + result.wrongfulByRate()),
                List.of("model moves", Long.toString(result.moves())),
                List.of("tokens over the limit", Long.toString(result.tokensOverLimit())),
                List.of("unreachable model seconds", number(result.unreachableModelSeconds(), 1)),
                List.of(
                        "engine crashes, blocked requests, others blocked",
                        result.crashes() + ", " + result.blocked() + ", " + result.blockedOthers())));
        List<List<String>> times = new ArrayList<>();
        for (ReplayResult.Times time : result.times()) {
            times.add(List.of(
                    time.team().value(),
                    name(time.requestClass()),
                    number(result.attainment().getOrDefault(time.team(), 1.0), 4),
                    Long.toString(time.firstTokenMedian()),
                    Long.toString(time.firstToken99()),
                    Long.toString(time.queueMedian()),
                    Long.toString(time.queue99())));
        }
        page.table(List.of("team", "class", "attainment", "first token p50, ms", "p99", "queue p50, ms", "p99"), times);
    }

    private void plots(HtmlPage page) throws IOException {
        page.heading("Attainment by team");
        page.note(
                "Tokens of requests whose first token came in time, in relation to those that an ideal bucket with the"
                        + " rate and burst of the team admits, by time of arrival; each point covers five intervals.");
        page.picture(Plots.attainment(timeline), "attainment of each team over time");
        for (RequestClass requestClass : RequestClass.values()) {
            page.heading("Time in the queue by team, " + name(requestClass) + " requests");
            Optional<byte[]> picture = Plots.queueTime(timeline, requestClass);
            if (picture.isPresent()) {
                page.picture(picture.get(), "mean time in the queue of " + name(requestClass) + " requests over time");
            } else {
                page.note("No request of this class started.");
            }
        }
        page.heading("Refusals by team");
        page.table(List.of("team", "by the rate", "by upstreams or deadline", "by content"), refusals());
        page.picture(Plots.refusals(timeline), "refusals of each team over time");
        page.heading("Model moves");
        page.picture(Plots.moves(timeline), "loads of models over time");
        page.heading("Residency by model");
        page.note("Each bar is a ready copy; its colour is the engine that holds it."
                + (deployment.models().size() > ResidencyPlot.MAXIMUM_MODELS
                        ? " Shown are the " + ResidencyPlot.MAXIMUM_MODELS + " models that were on most engines."
                        : ""));
        page.picture(new ResidencyPlot(timeline).png(), "engines that hold each model over time");
    }

    private List<List<String>> refusals() {
        List<List<String>> rows = new ArrayList<>();
        Map<String, Timeline.OfTeam> sorted = new TreeMap<>();
        for (Map.Entry<TeamName, Timeline.OfTeam> team : timeline.teams().entrySet()) {
            sorted.put(team.getKey().value(), team.getValue());
        }
        sorted.forEach((name, team) -> rows.add(
                List.of(name, sum(team, Refusal.RATE), sum(team, Refusal.UPSTREAM), sum(team, Refusal.CONTENT))));
        return rows;
    }

    private static String sum(Timeline.OfTeam team, Refusal reason) {
        return Long.toString(team.refusals().getOrDefault(reason, List.of()).stream()
                .mapToLong(Long::longValue)
                .sum());
    }

    private static String name(RequestClass requestClass) {
        return requestClass.name().toLowerCase(Locale.ROOT);
    }

    private static String number(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
