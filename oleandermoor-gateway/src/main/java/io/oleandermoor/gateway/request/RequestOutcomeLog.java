package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import java.util.Set;

/** The log lines of one request: how it ended without an answer of an instance, and where it went on. */
final class RequestOutcomeLog {

    private final RequestDispatcher dispatcher;

    RequestOutcomeLog(RequestDispatcher desk) {
        this.dispatcher = desk;
    }

    /** The request is refused, or fails because it may have run. */
    void logFailureOrRefusal(RequestExchange exchange, boolean mayHaveRun, String reason) {
        dispatcher
                .eventLog()
                .log(
                        mayHaveRun ? "failed" : "refused",
                        "request={} route={} team={} target={} reason={} after_ms={} sends={} waiting={} version={}",
                        exchange.admitted().caller().id(),
                        exchange.admitted().route().name(),
                        exchange.admitted().team().map(TeamLimits::name).orElse("-"),
                        exchange.target().map(ModelTarget::toString).orElse("-"),
                        reason,
                        exchange.ageMillis(),
                        exchange.sendCount(),
                        dispatcher.queue().size(),
                        dispatcher.view().document().map(FleetDocument::version).orElse(-1L));
    }

    /** The time of the request is over. */
    void logTimeout(RequestExchange exchange) {
        dispatcher
                .eventLog()
                .log(
                        "timeout",
                        "request={} after_ms={} sends={}",
                        exchange.admitted().caller().id(),
                        exchange.ageMillis(),
                        exchange.sendCount());
    }

    /** The request goes on at another instance. */
    void logRetry(RequestExchange exchange, String reason, Set<String> tried) {
        dispatcher
                .eventLog()
                .log(
                        "repeat",
                        "request={} reason=\"{}\" sends={} after_ms={} tried={}",
                        exchange.admitted().caller().id(),
                        reason,
                        exchange.sendCount(),
                        exchange.ageMillis(),
                        tried);
    }
}
