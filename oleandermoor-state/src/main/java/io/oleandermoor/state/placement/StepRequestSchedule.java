package io.oleandermoor.state.placement;

import io.oleandermoor.state.memory.EngineListing;
import java.util.List;

/**
 * Decides when an agent asks the placement owner for steps: at once after a change of what its engine holds, after a
 * notification that steps wait, and for a new owner; otherwise rarely, because thousands of agents share one owner. The
 * rare requests make up for lost notifications.
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class StepRequestSchedule {

    /** Shortest time between two requests. */
    static final long MINIMUM_INTERVAL_MILLIS = 100;

    /**
     * Time after which an unanswered request is repeated, and time between requests while steps are carried out.
     * Nothing is asked while an answer is outstanding: the answer to an earlier request is ignored, and its steps are
     * lost.
     */
    static final long ACTIVE_INTERVAL_MILLIS = 500;

    /** Time without new steps after which an agent asks only on changes. */
    static final long ACTIVE_PERIOD_MILLIS = 10_000;

    /** Time between two requests while nothing changes: 4,600 agents send 153 requests/s. */
    static final long IDLE_INTERVAL_MILLIS = 30_000;

    private List<EngineListing.Entry> reportedResidents = List.of();
    private boolean answerReceived;
    private boolean stepsPending;
    private long lastRequestMillis = Long.MIN_VALUE / 2;
    private long activeUntilMillis = Long.MIN_VALUE / 2;

    /** Asks the next owner soon: it knows nothing of this engine. */
    public void onOwnerChange() {
        answerReceived = false;
    }

    /** Takes in that steps wait at the owner. */
    public void onNotification() {
        stepsPending = true;
    }

    /**
     * Takes in the owner's answer to the last request.
     *
     * @param hasSteps whether there were steps to carry out
     * @param nowMillis the time
     */
    public void onAnswer(boolean hasSteps, long nowMillis) {
        answerReceived = true;
        if (hasSteps) {
            activeUntilMillis = nowMillis + ACTIVE_PERIOD_MILLIS;
        }
    }

    /**
     * Decides whether to ask now. The caller sends the request if so.
     *
     * @param residents what takes or may take memory of the engine
     * @param nowMillis the time
     * @return true if the request is due
     */
    public boolean beginRequestIfDue(List<EngineListing.Entry> residents, long nowMillis) {
        long waited = nowMillis - lastRequestMillis;
        if (waited < intervalMillis(residents, nowMillis)) {
            return false;
        }
        lastRequestMillis = nowMillis;
        reportedResidents = List.copyOf(residents);
        stepsPending = false;
        answerReceived = false;
        return true;
    }

    private long intervalMillis(List<EngineListing.Entry> residents, long nowMillis) {
        if (!answerReceived || nowMillis < activeUntilMillis && !stepsPending && residents.equals(reportedResidents)) {
            return ACTIVE_INTERVAL_MILLIS;
        }
        return stepsPending || !residents.equals(reportedResidents) ? MINIMUM_INTERVAL_MILLIS : IDLE_INTERVAL_MILLIS;
    }
}
