package io.oleandermoor.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs decisions about requests, a limited number of each kind in a second. Used on the event loop only. */
final class RequestEventLog {

    private static final Logger LOG = LogManager.getLogger("requests");
    private static final int MAXIMUM_LINES_PER_SECOND = 25;
    /** Ticks in a second. */
    private static final int TICKS_PER_SECOND = 40;

    private final Map<String, Integer> counts = new HashMap<>();
    private int ticks;

    void log(String kind, String format, Object... arguments) {
        int count = counts.merge(kind, 1, Integer::sum);
        if (count <= MAXIMUM_LINES_PER_SECOND) {
            LOG.info("event=" + kind + " " + format, arguments);
        }
    }

    void tick() {
        ticks++;
        if (ticks < TICKS_PER_SECOND) {
            return;
        }
        ticks = 0;
        counts.forEach((kind, count) -> {
            if (count > MAXIMUM_LINES_PER_SECOND) {
                LOG.info("event=lines_left_out kind={} count={}", kind, count - MAXIMUM_LINES_PER_SECOND);
            }
        });
        counts.clear();
    }
}
