package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.routing.RouteChoice;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Metrics and the log line of one request. Used by the worker of the request. */
final class RequestMeter {

    private static final Logger LOGGER = LogManager.getLogger(RequestMeter.class);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final CallerRequest request;

    private final ProcessMetrics metrics;

    private final long arrivedNanos = System.nanoTime();

    private long lastTextNanos;

    private boolean hasText;

    RequestMeter(CallerRequest request, ProcessMetrics metrics) {
        this.request = request;
        this.metrics = metrics;
    }

    void textForwarded() {
        long now = System.nanoTime();
        if (hasText) {
            metrics.betweenTokens(request.teamLabel(), request.classLabel(), now - lastTextNanos);
        } else {
            metrics.firstToken(request.teamLabel(), request.classLabel(), now - arrivedNanos);
        }
        hasText = true;
        lastTextNanos = now;
    }

    void refused(CallerError error) {
        metrics.refused(request.teamLabel(), error.code());
    }

    /**
     * Records the end of the request.
     *
     * @param outcome the outcome as told to the caller
     * @param choice the last upstream
     * @param prompt tokens of the prompt
     * @param generated generated tokens
     * @param used tokens charged to the team
     */
    void ended(String outcome, Optional<RouteChoice> choice, long prompt, long generated, long used) {
        String team = request.teamLabel();
        long elapsedNanos = System.nanoTime() - arrivedNanos;
        metrics.requestEnded(team, request.classLabel(), outcome);
        metrics.duration(team, request.classLabel(), elapsedNanos);
        if (used > 0) {
            metrics.tokensUsed(team, prompt, generated);
        }
        LogEvent.of("request_ended")
                .with("request", request.id())
                .with("team", team)
                .with("class", request.classLabel())
                .with("outcome", outcome)
                .with("upstream", choice.map(value -> value.upstream().value()).orElse("none"))
                .with("tokens", used)
                .with("millis", elapsedNanos / NANOS_PER_MILLI)
                .debug(LOGGER);
    }
}
