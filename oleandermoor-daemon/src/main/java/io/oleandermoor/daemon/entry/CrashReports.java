package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.CrashReport;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.Crash;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Enters the crashes that agents report into the registry. Safe for use by several threads. */
final class CrashReports {

    private static final Logger LOGGER = LogManager.getLogger(CrashReports.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CrashRegistry registry;

    CrashReports(CrashRegistry registry) {
        this.registry = registry;
    }

    void accept(String name, long version, byte[] content) {
        try {
            CrashReport report = MAPPER.readValue(content, CrashReport.class);
            // Agents do not know the incarnation of an upstream's process; the time of a crash tells crashes apart.
            Crash crash = new Crash(new UpstreamId(report.upstream()), report.atEpochMillis(), report.atEpochMillis());
            report.fingerprints().forEach(fingerprint -> registry.add(fingerprint, crash));
        } catch (IOException | IllegalArgumentException exception) {
            LogEvent.of("item_unreadable")
                    .with("item", name)
                    .with("version", version)
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }
}
