package io.oleandermoor.gateway.request;

import io.oleandermoor.state.fleet.HostRoute;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/** The sends of one request so far, and whether they permit another one. Used on the event loop only. */
final class SendHistory {

    /** Maximum number of sends, including those that an instance declined, which do not count as runs. */
    private static final int MAXIMUM_SENDS = 5;

    private final Set<String> triedInstances = new HashSet<>();
    private int sendCount;
    private int possibleRunCount;
    private boolean mayHaveRun;

    void recordSend(String instance) {
        sendCount++;
        triedInstances.add(instance);
    }

    /** Records that the last send did not reach its instance. */
    void recordNotSent() {
        sendCount--;
    }

    /** Records that the request has run or may have run. */
    void recordPossibleRun() {
        possibleRunCount++;
        mayHaveRun = true;
    }

    /** Records that a send was cancelled. */
    void recordCancelled(boolean mayHaveReachedInstance) {
        mayHaveRun |= mayHaveReachedInstance;
    }

    /** Allows an instance that declined the request temporarily to be chosen again. */
    void allowInstanceAgain(String instance) {
        triedInstances.remove(instance);
    }

    Set<String> triedInstances() {
        return Collections.unmodifiableSet(triedInstances);
    }

    int sendCount() {
        return sendCount;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the request may be sent again after its last send has ended. */
    boolean permitsRetry(HostRoute route) {
        return (!mayHaveRun || route.repeatable())
                && possibleRunCount < route.maximumAttempts()
                && sendCount < MAXIMUM_SENDS;
    }

    /** Returns whether the request may be sent again although its instance may still run it. */
    boolean permitsFailover(HostRoute route) {
        return route.repeatable() && possibleRunCount <= 1 && route.maximumAttempts() > 1 && sendCount < MAXIMUM_SENDS;
    }
}
