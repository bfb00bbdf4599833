package io.oleandermoor.transport.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/** The metrics of one process. Safe for use by several threads. */
public final class ProcessMetrics {

    private static final double[] SECONDS = {
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2, 0.5, 1, 1.4, 2, 5, 10, 30, 60
    };

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter requests = Counter.builder()
            .name("oleandermoor_requests_total")
            .help("Requests by team, class and outcome")
            .labelNames("team", "class", "outcome")
            .register(registry);

    private final Counter refusals = Counter.builder()
            .name("oleandermoor_refusals_total")
            .help("Requests refused as not run, by team and reason")
            .labelNames("team", "reason")
            .register(registry);

    private final Counter tokens = Counter.builder()
            .name("oleandermoor_tokens_total")
            .help("Prompt and generated tokens by team")
            .labelNames("team", "kind")
            .register(registry);

    private final Histogram firstToken = seconds("oleandermoor_first_token_seconds", "Time to the first token");

    private final Histogram betweenTokens =
            seconds("oleandermoor_between_tokens_seconds", "Time between two parts of a streamed answer");

    private final Histogram duration = seconds("oleandermoor_request_seconds", "Time to the end of the answer");

    private final Histogram queueing = seconds("oleandermoor_queue_seconds", "Time waited for a slot at the upstream");

    private final Counter events = Counter.builder()
            .name("oleandermoor_events_total")
            .help("Events of the process by name")
            .labelNames("event")
            .register(registry);

    /**
     * Counts the end of a request.
     *
     * @param team the team, or {@code open} on open routes
     * @param requestClass the class
     * @param outcome what became of the request
     */
    public void requestEnded(String team, String requestClass, String outcome) {
        requests.labelValues(team, requestClass, outcome).inc();
    }

    /**
     * Counts a refusal.
     *
     * @param team the team, or {@code unknown}
     * @param reason the code of the refusal
     */
    public void refused(String team, String reason) {
        refusals.labelValues(team, reason).inc();
    }

    /**
     * Counts tokens.
     *
     * @param team the team
     * @param promptTokens tokens of the prompt
     * @param generatedTokens generated tokens
     */
    public void tokensUsed(String team, long promptTokens, long generatedTokens) {
        tokens.labelValues(team, "prompt").inc(promptTokens);
        tokens.labelValues(team, "generated").inc(generatedTokens);
    }

    /**
     * Records the time to the first token.
     *
     * @param team the team
     * @param requestClass the class
     * @param nanos the time in nanoseconds
     */
    public void firstToken(String team, String requestClass, long nanos) {
        firstToken.labelValues(team, requestClass).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records the time between two parts of an answer.
     *
     * @param team the team
     * @param requestClass the class
     * @param nanos the time in nanoseconds
     */
    public void betweenTokens(String team, String requestClass, long nanos) {
        betweenTokens.labelValues(team, requestClass).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records the time to the end of an answer.
     *
     * @param team the team
     * @param requestClass the class
     * @param nanos the time in nanoseconds
     */
    public void duration(String team, String requestClass, long nanos) {
        duration.labelValues(team, requestClass).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records the time waited for a slot.
     *
     * @param team the team
     * @param requestClass the class
     * @param nanos the time in nanoseconds
     */
    public void queued(String team, String requestClass, long nanos) {
        queueing.labelValues(team, requestClass).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Counts an event.
     *
     * @param event the name of the event
     */
    public void event(String event) {
        events.labelValues(event).inc();
    }

    /**
     * Adds a gauge whose value is read when the metrics are read.
     *
     * @param name the full name of the metric
     * @param help what it says
     * @param value supplies the value; called from the thread that reads the metrics
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the bytes of the page
     * @throws IOException if the page cannot be written
     */
    public byte[] page() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return out.toByteArray();
    }

    private Histogram seconds(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(SECONDS)
                .labelNames("team", "class")
                .register(registry);
    }
}
