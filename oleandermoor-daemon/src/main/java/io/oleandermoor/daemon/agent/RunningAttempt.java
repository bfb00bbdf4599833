package io.oleandermoor.daemon.agent;

import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.transport.client.UpstreamCall;

/** An attempt that waits or runs in this agent. Changed only on the worker of the attempt. */
final class RunningAttempt {

    private final AttemptKey key;

    private final Dispatch dispatch;

    private final long arrivedNanos = System.nanoTime();

    private volatile InstanceId entry;

    private volatile UpstreamCall call = () -> {};

    private volatile long startedMillis;

    private volatile long lastHeardMillis;

    private long generatedTokens;

    private boolean moving;

    RunningAttempt(AttemptKey key, Dispatch dispatch, InstanceId entry, long nowMillis) {
        this.key = key;
        this.lastHeardMillis = nowMillis;
        this.dispatch = dispatch;
        this.entry = entry;
    }

    AttemptKey key() {
        return key;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    String fingerprint() {
        return AttemptMessages.fingerprint(dispatch);
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    InstanceId entry() {
        return entry;
    }

    void attachTo(InstanceId newEntry) {
        entry = newEntry;
    }

    void started(UpstreamCall started, long nowMillis) {
        call = started;
        startedMillis = nowMillis;
        lastHeardMillis = nowMillis;
    }

    /** Returns when the attempt started at the upstream, 0 if it waits. */
    long startedMillis() {
        return startedMillis;
    }

    /** Notes that the upstream has sent something. */
    void heard(long nowMillis) {
        lastHeardMillis = nowMillis;
    }

    /** Returns when the attempt arrived, started or last received something from the upstream, whichever is latest. */
    long lastHeardMillis() {
        return lastHeardMillis;
    }

    void cancelCall() {
        call.cancel();
    }

    /** Returns the position of the next token in the whole answer. */
    int nextOffset() {
        return (int) (dispatch.getResumeOffset() + generatedTokens);
    }

    /** Takes the number of tokens generated so far and returns how many are new. */
    int tokensGenerated(long total) {
        int added = (int) Math.max(1, total - generatedTokens);
        generatedTokens += added;
        return added;
    }

    /** Marks the attempt as one that goes on at another upstream when its call has been cancelled. */
    void move() {
        moving = true;
    }

    boolean isMoving() {
        return moving;
    }
}
