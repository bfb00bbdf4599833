package io.oleandermoor.state.evacuation;

import io.oleandermoor.state.dispatch.InstanceRule.Verdict;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks which failure domains are being evacuated and from when on nothing may be sent to their instances. Not
 * thread-safe.
 */
public final class EvacuationSchedule {

    /**
     * Margin between the deadline and the end of the time that an evacuation may take. It covers 1.3 s in which a watch
     * receives no changes because the store drops history, and the way of a request to its instance.
     */
    static final long MARGIN_MILLIS = 1_500;

    private final long allowedMillis;
    private final Map<String, Long> deadlines = new HashMap<>();
    private ReadmissionListener readmissionListener = (failureDomain, nowMillis) -> {};

    /**
     * Creates a schedule without evacuations.
     *
     * @param allowedMillis the time after the beginning of an evacuation from which nothing may reach an instance
     */
    public EvacuationSchedule(long allowedMillis) {
        this.allowedMillis = allowedMillis;
    }

    /** The phase of the evacuation of a failure domain. */
    public enum Phase {
        /** The failure domain is not being evacuated. */
        NONE(Verdict.ALLOWED),
        /** Requests are sent to the failure domain only if no other one can serve them. */
        LEAVING(Verdict.LAST_RESORT),
        /** Nothing is sent to the failure domain. */
        EVACUATED(Verdict.WITHDRAWN);

        private final Verdict verdict;

        Phase(Verdict verdict) {
            this.verdict = verdict;
        }

        /** Returns what applies to the instances of the failure domain. */
        Verdict verdict() {
            return verdict;
        }
    }

    /** Receives the ends of evacuations, before anything is sent to the failure domain again. */
    @FunctionalInterface
    public interface ReadmissionListener {

        /** Called when the evacuation of a failure domain has ended. */
        void domainReadmitted(String failureDomain, long nowMillis);
    }

    /** Sets the listener that receives the ends of evacuations. */
    public void setReadmissionListener(ReadmissionListener listener) {
        readmissionListener = listener;
    }

    /**
     * Begins the evacuation of a failure domain. The deadline of one that is already being evacuated does not change.
     *
     * @param failureDomain the failure domain
     * @param absenceAgeMillis the time since the evacuation was last known not to have been requested; empty if it may
     *     have been requested at any time
     * @param nowMillis the current time
     * @return the time until nothing may be sent; empty if the failure domain is already being evacuated
     */
    public OptionalLong begin(String failureDomain, OptionalLong absenceAgeMillis, long nowMillis) {
        if (deadlines.containsKey(failureDomain)) {
            return OptionalLong.empty();
        }
        long remainingMillis = absenceAgeMillis.isEmpty()
                ? 0
                : Math.max(0, allowedMillis - MARGIN_MILLIS - Math.max(0, absenceAgeMillis.getAsLong()));
        deadlines.put(failureDomain, nowMillis + remainingMillis);
        return OptionalLong.of(remainingMillis);
    }

    /** Ends the evacuation of a failure domain; returns whether it was being evacuated. */
    public boolean end(String failureDomain, long nowMillis) {
        if (deadlines.remove(failureDomain) == null) {
            return false;
        }
        readmissionListener.domainReadmitted(failureDomain, nowMillis);
        return true;
    }

    /** Returns the phase of the evacuation of a failure domain. */
    public Phase phase(String failureDomain, long nowMillis) {
        Long deadline = deadlines.get(failureDomain);
        if (deadline == null) {
            return Phase.NONE;
        }
        return nowMillis < deadline ? Phase.LEAVING : Phase.EVACUATED;
    }

    /** Returns the failure domains that are being evacuated. */
    public Set<String> failureDomains() {
        return Set.copyOf(deadlines.keySet());
    }
}
