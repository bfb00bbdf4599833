package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import java.util.Set;

/** The log lines of one request: how it ended without an answer of an instance, and where it went on. */
final class ExchangeLines {

    private final RequestDesk desk;

    ExchangeLines(RequestDesk desk) {
        this.desk = desk;
    }

    /** The request is refused, or fails because it may have run. */
    void ended(Exchange exchange, boolean mayHaveRun, String reason) {
        desk.log()
                .decided(
                        mayHaveRun ? "failed" : "refused",
                        "request={} route={} team={} target={} reason={} after_ms={} sends={} waiting={} version={}",
                        exchange.admitted().caller().id(),
                        exchange.admitted().route().name(),
                        exchange.admitted().team().map(TeamLimits::name).orElse("-"),
                        exchange.target().map(ModelTarget::toString).orElse("-"),
                        reason,
                        exchange.age(),
                        exchange.sends(),
                        desk.line().size(),
                        desk.view().document().map(FleetDocument::version).orElse(-1L));
    }

    /** The time of the request is over. */
    void timeout(Exchange exchange) {
        desk.log()
                .decided(
                        "timeout",
                        "request={} after_ms={} sends={}",
                        exchange.admitted().caller().id(),
                        exchange.age(),
                        exchange.sends());
    }

    /** The request goes on at another instance. */
    void repeat(Exchange exchange, String reason, Set<String> tried) {
        desk.log()
                .decided(
                        "repeat",
                        "request={} reason=\"{}\" sends={} after_ms={} tried={}",
                        exchange.admitted().caller().id(),
                        reason,
                        exchange.sends(),
                        exchange.age(),
                        tried);
    }
}
