package io.oleandermoor.state.coldstart;

import io.oleandermoor.state.fleet.InstanceDescription;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.ArrayDeque;
import java.util.Deque;

/** What an entry knows about the cold times of one instance, and what it has recently sent to it. Not thread-safe. */
final class ColdInstance {

    private InstanceDescription description;
    private long revision;
    private long describedMillis;
    private long runSeenMillis;
    private long reconnectedMillis = Long.MIN_VALUE;
    private long readmittedMillis = Long.MIN_VALUE;
    private boolean contactLost;
    private boolean cold;
    private long coldSinceMillis;
    private double fraction;
    /** The sends of the last window in their order, and at least the last one. */
    private final Deque<Long> sentMillis = new ArrayDeque<>();

    /**
     * Creates the state of an instance.
     *
     * @param description the first description of the instance
     * @param revision the revision of its description in the store
     * @param runSeenMillis when this run was first seen; {@link Long#MIN_VALUE} if it may have started long before
     * @param nowMillis the current time
     */
    ColdInstance(InstanceDescription description, long revision, long runSeenMillis, long nowMillis) {
        this.description = description;
        this.revision = revision;
        this.runSeenMillis = runSeenMillis;
        this.describedMillis = nowMillis;
    }

    /**
     * Updates the description. The same revision that is read again does not extend a cold time.
     *
     * @param next the description
     * @param nextRevision its revision in the store
     * @param nowMillis the current time
     */
    void describe(InstanceDescription next, long nextRevision, long nowMillis) {
        if (next.instance().startedMillis() != instance().startedMillis()) {
            runSeenMillis = nowMillis;
        } else if (nextRevision == revision && next.coldRemainingMillis().equals(description.coldRemainingMillis())) {
            return;
        }
        description = next;
        revision = nextRevision;
        describedMillis = nowMillis;
    }

    InstanceDescription description() {
        return description;
    }

    UpstreamInstance instance() {
        return description.instance();
    }

    long describedMillis() {
        return describedMillis;
    }

    long runSeenMillis() {
        return runSeenMillis;
    }

    long reconnectedMillis() {
        return reconnectedMillis;
    }

    long readmittedMillis() {
        return readmittedMillis;
    }

    void recordReadmission(long nowMillis) {
        readmittedMillis = nowMillis;
    }

    void recordContactLost() {
        contactLost = true;
    }

    /** Records that a connection was opened. */
    void recordConnected(long nowMillis) {
        if (contactLost) {
            contactLost = false;
            reconnectedMillis = nowMillis;
        }
    }

    boolean isCold() {
        return cold;
    }

    /**
     * Begins a cold time.
     *
     * @param randomFraction a random number from 0 (inclusive) to 1 (exclusive) that determines the first send
     * @param nowMillis the current time
     */
    void beginCold(double randomFraction, long nowMillis) {
        cold = true;
        fraction = randomFraction;
        coldSinceMillis = nowMillis;
    }

    void endCold() {
        cold = false;
    }

    void recordSend(long nowMillis) {
        while (!sentMillis.isEmpty() && sentMillis.peekFirst() <= nowMillis - ColdShare.WINDOW_MILLIS) {
            sentMillis.removeFirst();
        }
        sentMillis.addLast(nowMillis);
    }

    /** Removes a send that did not arrive at the instance or that it declined. */
    void removeSend(long millis) {
        sentMillis.removeLastOccurrence(millis);
    }

    /**
     * Returns the time of the first send in the cold time. It is derived from the present number of entries, because an
     * entry that has just started does not know it when the cold time begins.
     */
    long firstSendMillis(ColdShare share, EntryCount entries) {
        return coldSinceMillis + (long) (share.intervalMillis() * entries.position(fraction));
    }

    /** Returns whether a share permits a send now. */
    boolean permitsSend(ColdShare share, EntryCount entries, long nowMillis) {
        long sinceFirstMillis = nowMillis - firstSendMillis(share, entries);
        if (sinceFirstMillis < 0) {
            return false;
        }
        Long last = sentMillis.peekLast();
        long sinceLastMillis = last == null ? Long.MAX_VALUE : nowMillis - last;
        if (share.slotted()) {
            return sinceFirstMillis % share.intervalMillis() < ColdShare.SLOT_MILLIS
                    && sinceLastMillis >= ColdShare.WINDOW_MILLIS;
        }
        return sinceLastMillis >= share.intervalMillis() && sendsInWindow(nowMillis) < share.maximumPerWindow();
    }

    private int sendsInWindow(long nowMillis) {
        int count = 0;
        for (long millis : sentMillis) {
            count += millis > nowMillis - ColdShare.WINDOW_MILLIS ? 1 : 0;
        }
        return count;
    }
}
