package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.upstream.ResponseAnomaly;
import java.util.Locale;

/** Logs and counts what instances send that is not the response to the request in flight. */
final class ResponseAnomalyLog implements ResponseAnomaly.Listener {

    private static final int MAXIMUM_DETAIL_LENGTH = 160;

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
                printable(detail));
    }

    /** Shortens a text from an instance and replaces what could end its quotation or its line. */
    private static String printable(String text) {
        String shortened = text.substring(0, Math.min(text.length(), MAXIMUM_DETAIL_LENGTH));
        return shortened.replaceAll("[^ !#-~]", ".");
    }
}
