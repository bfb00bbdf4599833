package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.FleetView;
import io.oleandermoor.gateway.view.Moment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds instances that have gone silent without closing their connections: an engine makes an event for every running
 * stream many times a second, so one with streams and without a byte on any of them is dark or cut off. Its streams go
 * on elsewhere where their route allows that; answers that cannot be repeated are left to end by themselves. Silence is
 * counted in ticks of the event loop, so that a process that stood still does not take everybody else for silent. Used
 * on the event loop only.
 */
final class SilenceWatch {

    /** The interval at which silence is counted. */
    static final long TICK_MILLIS = 100;

    private static final Logger LOG = LogManager.getLogger(SilenceWatch.class);
    /** Ticks without a byte: far more than the pause between two events of a slow engine, half a caller's patience. */
    private static final int SILENT_TICKS = 8;

    private final FleetView view;
    private final Map<String, Watched> instances = new HashMap<>();

    SilenceWatch(FleetView view) {
        this.view = view;
    }

    private static final class Watched {

        private final Set<SendAttempt> attempts = new HashSet<>();
        private boolean heard;
        private int silentTicks;
    }

    void begin(String instance, SendAttempt attempt) {
        instances.computeIfAbsent(instance, key -> new Watched()).attempts.add(attempt);
    }

    void end(String instance, SendAttempt attempt) {
        Watched watched = instances.get(instance);
        if (watched != null) {
            watched.attempts.remove(attempt);
            if (watched.attempts.isEmpty()) {
                instances.remove(instance);
            }
        }
    }

    void heard(String instance) {
        Watched watched = instances.get(instance);
        if (watched != null) {
            watched.heard = true;
        }
    }

    void tick() {
        for (Map.Entry<String, Watched> entry : new ArrayList<>(instances.entrySet())) {
            Watched watched = entry.getValue();
            boolean streams = watched.attempts.stream().anyMatch(SendAttempt::streams);
            watched.silentTicks = watched.heard || !streams ? 0 : watched.silentTicks + 1;
            watched.heard = false;
            if (watched.silentTicks >= SILENT_TICKS) {
                watched.silentTicks = 0;
                silent(entry.getKey(), watched);
            }
        }
    }

    private void silent(String instance, Watched watched) {
        LOG.warn(
                "event=instance_silent instance={} attempts={} silent_ms={}",
                instance,
                watched.attempts.size(),
                SILENT_TICKS * TICK_MILLIS);
        view.instances().state(instance).ifPresent(state -> state.unreachable(Moment.steadyNow()));
        List<SendAttempt> attempts = new ArrayList<>(watched.attempts);
        attempts.forEach(SendAttempt::silent);
    }
}
