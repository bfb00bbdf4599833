package io.oleandermoor.gateway.metrics;

import io.oleandermoor.state.coldstart.ColdCause;
import io.oleandermoor.state.dispatch.InstanceNotices;
import io.oleandermoor.state.evacuation.EvacuationSchedule;
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

    private final Counter evacuations = Counter.builder()
            .name("oleandermoor_evacuations_total")
            .help("Changes of the evacuations of failure domains, by new phase")
            .labelNames("phase")
            .register(registry);

    private final Counter unserved = Counter.builder()
            .name("oleandermoor_unserved_requests_total")
            .help("Requests that were refused or failed, by outcome and reason")
            .labelNames("outcome", "reason")
            .register(registry);

    private final Counter coldTimes = Counter.builder()
            .name("oleandermoor_cold_times_total")
            .help("Times in which an instance counts as cold, by cause")
            .labelNames("cause")
            .register(registry);

    private final Counter coldLimited = Counter.builder()
            .name("oleandermoor_cold_limited_total")
            .help("Choices for which a cold instance was left out because the share of this entry was spent")
            .register(registry);

    private final Counter storeRestores = Counter.builder()
            .name("oleandermoor_store_restores_total")
            .help("Restores of the store from a copy that this entry has observed")
            .register(registry);

    private final Counter peerDatagrams = Counter.builder()
            .name("oleandermoor_peer_datagrams_total")
            .help("Datagrams sent to other entries, by kind of report")
            .labelNames("kind")
            .register(registry);

    private final Counter peerBytes = Counter.builder()
            .name("oleandermoor_peer_bytes_total")
            .help("Bytes sent to other entries, without the headers of UDP and IP, by kind of report")
            .labelNames("kind")
            .register(registry);

    /** The kinds of reports to other entries. */
    public enum PeerMessage {
        /** All loads and grants. */
        FULL,
        /** Loads and grants that changed since the last full report. */
        CHANGES,
        /** Loads that are reported at once or after a short delay. */
        LOADS,
        /** An instance that has ended. */
        CRASH
    }

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
        REQUEST
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

    /** Counts a restore of the store from a copy. */
    public void countStoreRestore() {
        storeRestores.inc();
    }

    /** Counts what was dropped so that callers stay within the bounds of this process. */
    public void countCallerDrop(CallerDrop kind) {
        callerDrops.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a notice of an instance. */
    public void countNotice(InstanceNotices.Reason reason) {
        notices.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a time in which an instance counts as cold. */
    public void countColdTime(ColdCause cause) {
        coldTimes.labelValues(cause.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a choice for which a cold instance was left out. */
    public void countColdLimited() {
        coldLimited.inc();
    }

    /** Counts data of an instance that is not the response to the request in flight. */
    public void countResponseAnomaly(String kind) {
        responseAnomalies.labelValues(kind).inc();
    }

    /** Counts a change of the evacuation of a failure domain. */
    public void countEvacuation(EvacuationSchedule.Phase phase) {
        evacuations.labelValues(phase.name().toLowerCase(Locale.ROOT)).inc();
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

    /** Counts what was sent to another entry. */
    public void countPeerMessage(PeerMessage kind, int datagrams, long bytes) {
        String label = kind.name().toLowerCase(Locale.ROOT);
        peerDatagrams.labelValues(label).inc(datagrams);
        peerBytes.labelValues(label).inc(bytes);
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
