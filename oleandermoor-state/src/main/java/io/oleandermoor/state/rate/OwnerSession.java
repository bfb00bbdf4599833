package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** State of one entry at the owner, removed when the session expires. All tokens of the entry expire together. */
final class OwnerSession {

    /** Value of a time that is not known. */
    static final long UNKNOWN_MILLIS = Long.MIN_VALUE;

    /** Tokens granted in the last response, which the entry may not have received. */
    record PendingGrant(TeamName team, long tokens) {}

    final RateClientId client;
    private final Map<TeamName, Long> held = new HashMap<>();
    private final List<PendingGrant> pending = new ArrayList<>();
    private long lastSequence = -1;
    private long lastReceivedMillis = UNKNOWN_MILLIS;
    private long lastSentAfterMillis = UNKNOWN_MILLIS;
    private long lastValidMillis;
    private long acceptedSequence = -1;
    private long acceptedReceivedMillis = UNKNOWN_MILLIS;
    private long expiresMillis;
    private long floorSuspendedUntilMillis = UNKNOWN_MILLIS;
    private boolean floorSuspended;
    private long scheduledEventMillis = Long.MAX_VALUE;

    OwnerSession(RateClientId client) {
        this.client = client;
    }

    boolean isStale(long sequence) {
        return sequence <= lastSequence;
    }

    /** Returns whether the entry accepted the last response. */
    boolean acceptedLast(long accepted) {
        return accepted == lastSequence;
    }

    /** Adds the tokens of the last response to the held tokens and extends the suspension of the floor. */
    void confirmPending() {
        for (PendingGrant grant : pending) {
            held.merge(grant.team(), grant.tokens(), Long::sum);
        }
        pending.clear();
        acceptedSequence = lastSequence;
        acceptedReceivedMillis = lastReceivedMillis;
        if (lastSentAfterMillis != UNKNOWN_MILLIS) {
            floorSuspendedUntilMillis = Math.max(floorSuspendedUntilMillis, lastSentAfterMillis + lastValidMillis);
        }
    }

    /** Removes and returns the tokens of the last response. */
    List<PendingGrant> removePending() {
        List<PendingGrant> taken = List.copyOf(pending);
        pending.clear();
        return taken;
    }

    /** Returns a lower bound of the time at which the request that confirms this response was sent. */
    long sentAfterMillis(long accepted) {
        return accepted == acceptedSequence ? acceptedReceivedMillis : UNKNOWN_MILLIS;
    }

    /** Records the request that is being answered and the end of the session. */
    void recordRequest(RateRequest request, long sentAfterMillis, long validMillis, long untilMillis, long nowMillis) {
        lastSequence = request.sequence();
        lastReceivedMillis = nowMillis;
        lastSentAfterMillis = sentAfterMillis;
        lastValidMillis = validMillis;
        expiresMillis = Math.max(expiresMillis, untilMillis);
    }

    void addPending(TeamName team, long tokens) {
        pending.add(new PendingGrant(team, tokens));
    }

    long held(TeamName team) {
        return held.getOrDefault(team, 0L);
    }

    void setHeld(TeamName team, long tokens) {
        if (tokens == 0) {
            held.remove(team);
        } else {
            held.put(team, tokens);
        }
    }

    /** Removes and returns the held tokens. */
    Map<TeamName, Long> removeHeld() {
        Map<TeamName, Long> taken = Map.copyOf(held);
        held.clear();
        return taken;
    }

    Map<TeamName, Long> held() {
        return held;
    }

    long expiresMillis() {
        return expiresMillis;
    }

    /** Returns the time from which the floor of the entry no longer counts as suspended. */
    long floorSuspendedUntilMillis() {
        return floorSuspendedUntilMillis;
    }

    boolean floorSuspended() {
        return floorSuspended;
    }

    void floorSuspended(boolean suspended) {
        floorSuspended = suspended;
    }

    /** Schedules the next event if it is earlier than the scheduled one, and returns whether it is. */
    boolean scheduleEarlierEvent() {
        long next = floorSuspended ? Math.min(floorSuspendedUntilMillis, expiresMillis) : expiresMillis;
        if (next >= scheduledEventMillis) {
            return false;
        }
        scheduledEventMillis = next;
        return true;
    }

    long scheduledEventMillis() {
        return scheduledEventMillis;
    }

    /** Returns whether the event is the scheduled one and not one replaced by an earlier event; clears it if so. */
    boolean consumeEvent(long millis) {
        if (millis != scheduledEventMillis) {
            return false;
        }
        scheduledEventMillis = Long.MAX_VALUE;
        return true;
    }
}
