package io.oleandermoor.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs events of requests with a rate limit for each event name. Used on the event loop only. */
final class RequestEventLog {

    private static final Logger LOG = LogManager.getLogger("requests");
    private static final int MAXIMUM_LINES_PER_SECOND = 25;
    private static final int MAXIMUM_TEXT_LENGTH = 160;
    /** Number of ticks in a second, at the dispatch interval of {@link RequestDispatcher}. */
    private static final int TICKS_PER_SECOND = 40;

    private final Map<String, Integer> counts = new HashMap<>();
    private int ticks;

    void log(String event, String format, Object... arguments) {
        int count = counts.merge(event, 1, Integer::sum);
        if (count <= MAXIMUM_LINES_PER_SECOND) {
            LOG.info("event=" + event + " " + format, arguments);
        }
    }

    /** Shortens a text from outside and replaces what could end its quotation or its line. */
    static String printable(String text) {
        String shortened = text.substring(0, Math.min(text.length(), MAXIMUM_TEXT_LENGTH));
        return shortened.replaceAll("[^ !#-~]", ".");
    }

    void tick() {
        ticks++;
        if (ticks < TICKS_PER_SECOND) {
            return;
        }
        ticks = 0;
        counts.forEach((event, count) -> {
            if (count > MAXIMUM_LINES_PER_SECOND) {
                LOG.info("event=lines_left_out kind={} count={}", event, count - MAXIMUM_LINES_PER_SECOND);
            }
        });
        counts.clear();
    }
}
