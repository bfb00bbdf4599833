package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What instances have said in their responses to this entry about further requests: that they leave, or that they want
 * nothing for some time. A notice holds for one run of an instance, whatever its description in the platform's list
 * says later, and not for the next run at the same address. Not thread-safe.
 */
public final class InstanceNotices {

    /** A longer pause counts as this long; an instance that states one is more likely to be faulty than patient. */
    private static final long MAXIMUM_PAUSE_MILLIS = 600_000;
    /** Time after a pause in which the load of the instance may rise to its slots. */
    private static final long RAMP_MILLIS = 1_000;

    private static final int MAXIMUM_RUNS = 4_096;

    private final Map<Run, Notice> departures = new BoundedMap();
    private final Map<Run, Notice> pauses = new BoundedMap();

    /** Why an instance is not sent anything. */
    public enum Reason {
        /** It is about to stop. */
        LEAVING,
        /** It asked for a pause. */
        PAUSED
    }

    /**
     * A notice of an instance.
     *
     * @param reason why nothing is sent
     * @param sinceMillis when the notice arrived
     * @param untilMillis when requests may be sent again; {@link Long#MAX_VALUE} if never
     */
    public record Notice(Reason reason, long sinceMillis, long untilMillis) {}

    private record Run(String id, long startedMillis) {

        private static Run of(UpstreamInstance instance) {
            return new Run(instance.id(), instance.startedMillis());
        }
    }

    private static final class BoundedMap extends LinkedHashMap<Run, Notice> {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Run, Notice> eldest) {
            return size() > MAXIMUM_RUNS;
        }
    }

    /**
     * Records that an instance is leaving.
     *
     * @param instance the instance
     * @param nowMillis the current time
     * @return the notice, empty if it was known
     */
    public Optional<Notice> recordLeaving(UpstreamInstance instance, long nowMillis) {
        Notice notice = new Notice(Reason.LEAVING, nowMillis, Long.MAX_VALUE);
        return departures.putIfAbsent(Run.of(instance), notice) == null ? Optional.of(notice) : Optional.empty();
    }

    /**
     * Records that an instance wants nothing for some time. A notice does not shorten an earlier one.
     *
     * @param instance the instance
     * @param pauseMillis the length of the pause
     * @param nowMillis the current time
     * @return the notice, empty if an earlier one lasts at least as long
     */
    public Optional<Notice> recordPause(UpstreamInstance instance, long pauseMillis, long nowMillis) {
        long untilMillis = nowMillis + Math.min(MAXIMUM_PAUSE_MILLIS, Math.max(0, pauseMillis));
        Notice previous = pauses.get(Run.of(instance));
        if (untilMillis <= nowMillis || (previous != null && previous.untilMillis() >= untilMillis)) {
            return Optional.empty();
        }
        Notice notice = new Notice(Reason.PAUSED, nowMillis, untilMillis);
        pauses.put(Run.of(instance), notice);
        return Optional.of(notice);
    }

    /** Returns the notice because of which nothing may be sent to an instance now. */
    public Optional<Notice> current(UpstreamInstance instance, long nowMillis) {
        if (departures.isEmpty() && pauses.isEmpty()) {
            return Optional.empty();
        }
        Notice departure = departures.get(Run.of(instance));
        if (departure != null) {
            return Optional.of(departure);
        }
        return Optional.ofNullable(pauses.get(Run.of(instance))).filter(pause -> nowMillis < pause.untilMillis());
    }

    /**
     * Returns the share of its slots that an instance may be given: it rises after a pause, so that not all requests
     * that waited are sent to it at once.
     */
    double usableShare(UpstreamInstance instance, long nowMillis) {
        Notice pause = pauses.isEmpty() ? null : pauses.get(Run.of(instance));
        return pause == null ? 1 : Math.min(1, Math.max(0, (double) (nowMillis - pause.untilMillis()) / RAMP_MILLIS));
    }
}
