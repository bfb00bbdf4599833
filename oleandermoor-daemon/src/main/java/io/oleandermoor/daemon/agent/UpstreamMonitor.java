package io.oleandermoor.daemon.agent;

import io.oleandermoor.transport.client.EngineControl;
import io.oleandermoor.transport.client.EngineControl.Resident;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Looks at the engine regularly and tells what it has ready. Used by one thread. */
final class UpstreamMonitor {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamMonitor.class);

    private final EngineControl control;

    private final Consumer<Optional<List<Resident>>> listener;

    private boolean reachable = true;

    UpstreamMonitor(EngineControl control, Consumer<Optional<List<Resident>>> listener) {
        this.control = control;
        this.listener = listener;
    }

    /** Reads the engine's listing; an engine that does not answer has nothing ready. */
    void poll() {
        try {
            List<Resident> residents = control.list();
            note(true, "");
            listener.accept(Optional.of(residents));
        } catch (IOException exception) {
            note(false, String.valueOf(exception.getMessage()));
            listener.accept(Optional.empty());
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
}
