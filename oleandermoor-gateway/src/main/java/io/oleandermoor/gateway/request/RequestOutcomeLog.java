package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import java.util.Set;

/** Logs how a request ended without an instance's response, and where it was retried. */
final class RequestOutcomeLog {

    private final RequestDispatcher dispatcher;

    RequestOutcomeLog(RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Logs that the request is refused, or that it failed because it may have run. */
    void logFailureOrRefusal(RequestExchange exchange, boolean mayHaveRun, String reason) {
        String outcome = mayHaveRun ? "failed" : "refused";
        dispatcher.metrics().countUnserved(outcome, reason);
        dispatcher
                .eventLog()
                .log(
                        outcome,
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

    /** Logs that the deadline of the request has passed. */
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

    /** Logs that the request is retried at another instance. */
    void logRetry(RequestExchange exchange, String reason, Set<String> triedInstances) {
        dispatcher
                .eventLog()
                .log(
                        "repeat",
                        "request={} reason=\"{}\" sends={} after_ms={} tried={}",
                        exchange.admitted().caller().id(),
                        reason,
                        exchange.sendCount(),
                        exchange.ageMillis(),
                        triedInstances);
    }
}
