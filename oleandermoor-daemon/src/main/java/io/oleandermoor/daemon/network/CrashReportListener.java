package io.oleandermoor.daemon.network;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.ItemExchange.ItemListener;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import java.io.IOException;

/** Enters the crashes that agents report into the registry of a process. Safe for use by several threads. */
public final class CrashReportListener implements ItemListener {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CrashRegistry crashes;

    private final ProcessMetrics metrics;

    /**
     * Creates a listener.
     *
     * @param crashes the registry
     * @param metrics counts the crashes
     */
    public CrashReportListener(CrashRegistry crashes, ProcessMetrics metrics) {
        this.crashes = crashes;
        this.metrics = metrics;
    }

    @Override
    public void received(String name, long version, byte[] content) {
        try {
            CrashReport report = MAPPER.readValue(content, CrashReport.class);
            report.enterInto(crashes);
            metrics.event("upstream_crash");
        } catch (IOException exception) {
            UnreadableItem.log(name, version, exception);
        }
    }
}
