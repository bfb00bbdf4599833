package io.oleandermoor.gateway.metrics;

import io.oleandermoor.state.dispatch.InstanceNotices;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;

/** The metrics of an entry. Thread-safe. */
public final class GatewayMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter crashes = Counter.builder()
            .name("oleandermoor_instance_crashes_total")
            .help("Reports of instances that ended under requests, by observer")
            .labelNames("observer")
            .register(registry);

    private final Counter quarantines = Counter.builder()
            .name("oleandermoor_quarantines_total")
            .help("Traits of requests that are quarantined, by change")
            .labelNames("change")
            .register(registry);

    private final Counter notices = Counter.builder()
            .name("oleandermoor_instance_notices_total")
            .help("Notices of instances that they leave or want nothing for some time, by reason")
            .labelNames("reason")
            .register(registry);

    private final Counter responseAnomalies = Counter.builder()
            .name("oleandermoor_response_anomalies_total")
            .help("Data of instances that is not, or not only, the response to the request in flight, by kind")
            .labelNames("kind")
            .register(registry);

    private final Counter unserved = Counter.builder()
            .name("oleandermoor_unserved_requests_total")
            .help("Requests that were refused or failed, by outcome and reason")
            .labelNames("outcome", "reason")
            .register(registry);

    private final Counter callerDrops = Counter.builder()
            .name("oleandermoor_caller_drops_total")
            .help("Connections and unfinished requests of callers that were dropped to stay within bounds, by kind")
            .labelNames("kind")
            .register(registry);

    /** What is dropped so that callers stay within the bounds of this process. */
    public enum CallerDrop {
        /** A connection that was refused. */
        CONNECTION,
        /** What was received of a request. */
        REQUEST,
        /** A response that its caller has not read. */
        RESPONSE
    }

    /** What happens to the quarantine of a trait. */
    public enum QuarantineChange {
        /** It begins because of a crash. */
        BEGUN,
        /** It was begun by another entry or before a restart. */
        RESTORED,
        /** An answer has disproved it, or the suspicion before it. */
        DISPROVED
    }

    /** Counts a report of an instance that ended, by this entry or by another one. */
    public void countCrash(boolean own) {
        crashes.labelValues(own ? "self" : "peer").inc();
    }

    /** Counts a change of a quarantine. */
    public void countQuarantine(QuarantineChange change) {
        quarantines.labelValues(change.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts what was dropped so that callers stay within the bounds of this process. */
    public void countCallerDrop(CallerDrop kind) {
        callerDrops.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a notice of an instance. */
    public void countNotice(InstanceNotices.Reason reason) {
        notices.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts data of an instance that is not the response to the request in flight. */
    public void countResponseAnomaly(String kind) {
        responseAnomalies.labelValues(kind).inc();
    }

    /**
     * Counts a request that was refused or failed.
     *
     * @param outcome what became of the request
     * @param reason the reason; its first word is counted, because the rest names instances
     */
    public void countUnserved(String outcome, String reason) {
        unserved.labelValues(outcome, reason.split("[^A-Za-z0-9_]", 2)[0]).inc();
    }

    /** Returns all metrics in the text format of Prometheus. */
    public byte[] text() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(output, registry.scrape());
        } catch (IOException exception) {
            throw new IllegalStateException("writing to memory cannot fail", exception);
        }
        return output.toByteArray();
    }
}
