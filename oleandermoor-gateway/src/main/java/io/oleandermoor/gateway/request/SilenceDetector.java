package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects instances that stop responding without closing their connections, and single streams that stall. An engine
 * produces an event for every running stream many times a second, so an instance with streams but without an event on
 * any of them has failed or is unreachable. Streams move to another instance if their route allows it and another
 * instance can take them; responses that are not repeatable are left to end by themselves. Silence is counted in ticks
 * of the event loop, so that a process that was paused does not consider all instances silent. Used on the event loop
 * only.
 */
final class SilenceDetector {

    /** Interval of the checks for silence. */
    static final long TICK_MILLIS = 100;

    private static final Logger LOG = LogManager.getLogger(SilenceDetector.class);
    /** Ticks without an event on any of several streams; well above the longest pause of a slow engine. */
    private static final int SILENT_TICKS = 8;
    /**
     * Number of streams from which {@link #SILENT_TICKS} applies. Fewer streams can all pause at the same time by
     * chance, for example when they are preempted.
     */
    private static final int MINIMUM_STREAMS_FOR_SHORT_LIMIT = 3;
    /** Ticks without an event on one stream or a few; three quarters of the shortest time that a caller waits. */
    private static final int STALLED_TICKS = 15;

    private final DeploymentView view;
    private final Map<String, WatchedInstance> instances = new HashMap<>();

    SilenceDetector(DeploymentView view) {
        this.view = view;
    }

    private static final class WatchedInstance {

        private final Set<SendAttempt> attempts = new HashSet<>();
        private boolean active;
        private int silentTicks;
        private boolean slow;
    }

    void attemptStarted(String instance, SendAttempt attempt) {
        instances
                .computeIfAbsent(instance, key -> new WatchedInstance())
                .attempts
                .add(attempt);
    }

    void attemptEnded(String instance, SendAttempt attempt) {
        WatchedInstance watched = instances.get(instance);
        if (watched != null) {
            watched.attempts.remove(attempt);
            if (watched.attempts.isEmpty()) {
                instances.remove(instance);
            }
        }
    }

    void recordActivity(String instance) {
        WatchedInstance watched = instances.get(instance);
        if (watched != null) {
            watched.active = true;
        }
    }

    void tick() {
        for (Map.Entry<String, WatchedInstance> entry : new ArrayList<>(instances.entrySet())) {
            WatchedInstance watched = entry.getValue();
            long streams =
                    watched.attempts.stream().filter(SendAttempt::expectsEvents).count();
            watched.silentTicks = watched.active || streams == 0 ? 0 : watched.silentTicks + 1;
            watched.active = false;
            if (watched.silentTicks >= (streams >= MINIMUM_STREAMS_FOR_SHORT_LIMIT ? SILENT_TICKS : STALLED_TICKS)) {
                handleSilentInstance(entry.getKey(), watched);
            }
            handleStalledStreams(entry.getKey(), watched);
            checkSlowness(entry.getKey(), watched);
        }
    }

    /** Logs an instance once each time that it becomes slow, so that operators can identify it. */
    private void checkSlowness(String instance, WatchedInstance watched) {
        OptionalDouble slowness = view.instances().slowdownRatio(instance, Timestamp.monotonicNowMillis());
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

    private void handleSilentInstance(String instance, WatchedInstance watched) {
        LOG.warn(
                "event=instance_silent instance={} attempts={} silent_ms={}",
                instance,
                watched.attempts.size(),
                watched.silentTicks * TICK_MILLIS);
        watched.silentTicks = 0;
        view.instances().state(instance).ifPresent(state -> state.recordUnreachable(Timestamp.monotonicNowMillis()));
        new ArrayList<>(watched.attempts).forEach(attempt -> attempt.failOverAfterSilence("silence"));
    }

    /** Checks each stream separately, because one can stall while the others continue. */
    private void handleStalledStreams(String instance, WatchedInstance watched) {
        for (SendAttempt attempt : new ArrayList<>(watched.attempts)) {
            if (attempt.expectsEvents() && attempt.countTickWithoutEvent() >= STALLED_TICKS) {
                LOG.debug("event=stream_stalled instance={}", instance);
                attempt.failOverAfterSilence("stalled_stream");
            }
        }
    }
}
