package io.oleandermoor.daemon.network;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.ItemExchange.ItemListener;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Enters the crashes that agents report into the registry of a process. Safe for use by several threads. */
public final class CrashReportListener implements ItemListener {

    private static final Logger LOGGER = LogManager.getLogger(CrashReportListener.class);

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
            LogEvent.of("item_unreadable")
                    .with("item", name)
                    .with("version", version)
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }
}
