package io.oleandermoor.state.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * What an entry knows about whether the process at the address of an instance still is the run that the instance has
 * described. After a loss of contact it may be another run, until it is confirmed. Times are monotonic. Not
 * thread-safe.
 */
public final class RunContact {

    private static final long NEVER = Long.MIN_VALUE;
    /** Bounds the memory of an entry whose store is away while an instance does not confirm its run. */
    private static final int MAXIMUM_WAITING = 512;

    private long lostMillis;
    private long confirmedMillis = NEVER;
    private boolean refuted;
    private final List<Runnable> waiting = new ArrayList<>();

    private RunContact(long lostMillis) {
        this.lostMillis = lostMillis;
    }

    /** Creates the contact with an instance that has not been lost. */
    static RunContact unbroken() {
        return new RunContact(NEVER);
    }

    /** Creates the contact with the next run of the instance, whose description may be older than the last loss. */
    RunContact next() {
        return new RunContact(lostMillis);
    }

    /** Records that a connection to the instance was lost or could not be opened. */
    public void recordLost(long nowMillis) {
        lostMillis = Math.max(lostMillis, nowMillis);
        refuted = false;
    }

    /** Records that the run still existed at a time. */
    public void recordConfirmed(long asOfMillis) {
        confirmedMillis = Math.max(confirmedMillis, asOfMillis);
        if (!isUncertain()) {
            refuted = false;
            List<Runnable> actions = List.copyOf(waiting);
            waiting.clear();
            actions.forEach(Runnable::run);
        }
    }

    /** Records that the process at the address did not confirm that it is this run. */
    public void recordRefuted() {
        refuted = true;
    }

    /** Returns whether another run may be at the address of the instance. */
    public boolean isUncertain() {
        return lostMillis != NEVER && lostMillis >= confirmedMillis;
    }

    /** Returns whether an uncertain run was asked for a confirmation and did not give one. */
    public boolean isRefuted() {
        return refuted && isUncertain();
    }

    /**
     * Runs an action once the run is certain again; never if another run has taken its place, or if too many actions
     * wait already.
     */
    public void whenCertain(Runnable action) {
        if (!isUncertain()) {
            action.run();
        } else if (waiting.size() < MAXIMUM_WAITING) {
            waiting.add(action);
        }
    }
}
