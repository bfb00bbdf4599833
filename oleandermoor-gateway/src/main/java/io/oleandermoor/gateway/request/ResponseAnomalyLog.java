package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.upstream.ResponseAnomaly;
import java.util.Locale;

/** Logs and counts what instances send that is not the response to the request in flight. */
final class ResponseAnomalyLog implements ResponseAnomaly.Listener {

    private final RequestEventLog eventLog;
    private final GatewayMetrics metrics;

    ResponseAnomalyLog(RequestEventLog eventLog, GatewayMetrics metrics) {
        this.eventLog = eventLog;
        this.metrics = metrics;
    }

    @Override
    public void anomalyFound(ResponseAnomaly anomaly, String instanceId, String requestId, String detail) {
        String kind = anomaly.name().toLowerCase(Locale.ROOT);
        metrics.countResponseAnomaly(kind);
        eventLog.log(
                "response_anomaly",
                "kind={} instance={} request={} detail=\"{}\"",
                kind,
                instanceId,
                requestId,
                RequestEventLog.printable(detail));
    }
}
