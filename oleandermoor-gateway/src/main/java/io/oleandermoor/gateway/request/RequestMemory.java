package io.oleandermoor.gateway.request;

import io.oleandermoor.state.callers.CallerMemory;
import java.util.ArrayDeque;
import java.util.Deque;

/** The memory for the heads of the requests of one connection, as a part of the account of all connections. */
final class RequestMemory {

    private final CallerMemory<CallerConnection>.Holding holding;
    /** The heads of the requests that were received and not answered; the first may be in service. */
    private final Deque<Long> unanswered = new ArrayDeque<>();

    private long receivingBytes;
    private boolean serving;
    private boolean dropped;

    RequestMemory(CallerMemory<CallerConnection>.Holding holding) {
        this.holding = holding;
    }

    /** Records the memory for what has been received of the next head. */
    void setHead(long bytes) {
        if (dropped) {
            return;
        }
        holding.add(bytes - receivingBytes);
        receivingBytes = bytes;
        updateUnfinished();
    }

    /** Records that the request whose head was received last is complete. */
    void requestReceived() {
        unanswered.addLast(receivingBytes);
        receivingBytes = 0;
    }

    /** Records that the first request that has no response is passed on. */
    void serviceBegun() {
        serving = true;
        updateUnfinished();
    }

    /** Records that the request in service has its response. */
    void serviceEnded() {
        if (!serving) {
            return;
        }
        serving = false;
        Long headBytes = unanswered.pollFirst();
        if (headBytes != null) {
            holding.add(-headBytes);
        }
        updateUnfinished();
    }

    /** Releases everything except the request in service. */
    void dropUnserved() {
        Long servedBytes = serving ? unanswered.pollFirst() : null;
        unanswered.clear();
        long kept = 0;
        if (servedBytes != null) {
            unanswered.addLast(servedBytes);
            kept = servedBytes;
        }
        dropped = true;
        receivingBytes = 0;
        holding.setUnfinished(false);
        holding.add(kept - holding.bytes());
    }

    /** Releases everything. */
    void close() {
        dropped = true;
        holding.close();
    }

    long bytes() {
        return holding.bytes();
    }

    private void updateUnfinished() {
        holding.setUnfinished(!dropped && (receivingBytes > 0 || unanswered.size() > (serving ? 1 : 0)));
    }
}
