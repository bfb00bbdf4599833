package io.oleandermoor.daemon.agent;

import io.oleandermoor.transport.client.EngineControl;
import io.oleandermoor.transport.client.EngineControl.Resident;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Looks at the engine regularly and tells what it has ready. Used by one thread. */
final class UpstreamMonitor {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamMonitor.class);

    private final EngineControl control;

    private final LongSupplier fencingNumber;

    private final LongSupplier nowMillis;

    private final Listener listener;

    private boolean reachable = true;

    UpstreamMonitor(EngineControl control, LongSupplier fencingNumber, LongSupplier nowMillis, Listener listener) {
        this.control = control;
        this.fencingNumber = fencingNumber;
        this.nowMillis = nowMillis;
        this.listener = listener;
    }

    /** Reads the engine's listing; an engine that does not answer has nothing ready. */
    void poll() {
        try {
            long requestedMillis = nowMillis.getAsLong();
            List<Resident> residents = control.list(fencingNumber.getAsLong());
            note(true, "");
            listener.listed(Optional.of(residents), requestedMillis);
        } catch (IOException exception) {
            note(false, String.valueOf(exception.getMessage()));
            listener.listed(Optional.empty(), nowMillis.getAsLong());
        }
    }

    private void note(boolean isReachable, String reason) {
        if (isReachable != reachable) {
            reachable = isReachable;
            LogEvent.of(isReachable ? "upstream_reachable" : "upstream_unreachable")
                    .with("reason", reason)
                    .info(LOGGER);
        }
    }

    /** Receives listings. */
    @FunctionalInterface
    interface Listener {

        /** Called with what the engine lists, or nothing if it did not answer, and when the listing was requested. */
        void listed(Optional<List<Resident>> residents, long requestedMillis);
    }
}
