package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.FleetView;
import io.oleandermoor.gateway.view.Moment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds instances that have gone silent without closing their connections, and single streams that stand still: an
 * engine makes an event for every running stream many times a second, so one with streams and without an event on any
 * of them is dark or cut off. Streams go on elsewhere where their route allows that and another instance can take them;
 * answers that cannot be repeated are left to end by themselves. Silence is counted in ticks of the event loop, so that
 * a process that stood still does not take everybody else for silent. Used on the event loop only.
 */
final class SilenceWatch {

    /** The interval at which silence is counted. */
    static final long TICK_MILLIS = 100;

    private static final Logger LOG = LogManager.getLogger(SilenceWatch.class);
    /** Ticks without an event on any of several streams: far more than a pause of a slow engine. */
    private static final int SILENT_TICKS = 8;
    /** Streams from which on they do not all pause at the same time by chance, as when some are preempted. */
    private static final int SEVERAL_STREAMS = 3;
    /** Ticks without an event on one stream, or on few: three quarters of the least patience of a caller. */
    private static final int STALLED_TICKS = 15;

    private final FleetView view;
    private final Map<String, Watched> instances = new HashMap<>();

    SilenceWatch(FleetView view) {
        this.view = view;
    }

    private static final class Watched {

        private final Set<SendAttempt> attempts = new HashSet<>();
        private boolean heard;
        private int silentTicks;
        private boolean slow;
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
            long streams =
                    watched.attempts.stream().filter(SendAttempt::streams).count();
            watched.silentTicks = watched.heard || streams == 0 ? 0 : watched.silentTicks + 1;
            watched.heard = false;
            if (watched.silentTicks >= (streams >= SEVERAL_STREAMS ? SILENT_TICKS : STALLED_TICKS)) {
                silent(entry.getKey(), watched);
            }
            stalled(entry.getKey(), watched);
            slow(entry.getKey(), watched);
        }
    }

    /** Tells once for each time that an instance is slow, so that its name is seen before its callers complain. */
    private void slow(String instance, Watched watched) {
        OptionalDouble slowness = view.instances().slowdownRatio(instance, Moment.steadyNow());
        if (slowness.isPresent() && !watched.slow) {
            LOG.info(
                    "event=instance_slow instance={} times_usual_pause={} streams={} load={}",
                    instance,
                    Math.round(slowness.getAsDouble() * 10) / 10.0,
                    watched.attempts.size(),
                    view.instances().load(instance));
        }
        watched.slow = slowness.isPresent();
    }

    private void silent(String instance, Watched watched) {
        LOG.warn(
                "event=instance_silent instance={} attempts={} silent_ms={}",
                instance,
                watched.attempts.size(),
                watched.silentTicks * TICK_MILLIS);
        watched.silentTicks = 0;
        view.instances().state(instance).ifPresent(state -> state.recordUnreachable(Moment.steadyNow()));
        new ArrayList<>(watched.attempts).forEach(attempt -> attempt.silent("silence"));
    }

    /** Looks at each stream alone: one may stand still among sound ones. */
    private void stalled(String instance, Watched watched) {
        for (SendAttempt attempt : new ArrayList<>(watched.attempts)) {
            if (attempt.streams() && attempt.tickWithoutEvent() >= STALLED_TICKS) {
                LOG.debug("event=stream_stalled instance={}", instance);
                attempt.silent("stalled_stream");
            }
        }
    }
}
