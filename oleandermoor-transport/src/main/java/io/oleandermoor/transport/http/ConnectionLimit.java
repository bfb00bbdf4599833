package io.oleandermoor.transport.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the open connections of an HTTP server up to a limit. Safe for use by several threads. */
public final class ConnectionLimit {

    private final int maximum;

    private final AtomicInteger open = new AtomicInteger();

    private final AtomicLong refused = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param maximum largest number of open connections, positive
     */
    public ConnectionLimit(int maximum) {
        if (maximum <= 0) {
            throw new IllegalArgumentException("maximum must be positive: " + maximum);
        }
        this.maximum = maximum;
    }

    /**
     * Returns the number of open connections, without those that are being refused.
     *
     * @return a count
     */
    public int open() {
        return open.get();
    }

    /**
     * Returns the number of connections refused so far.
     *
     * @return a count
     */
    public long refused() {
        return refused.get();
    }

    /** Counts a new connection, unless the limit is reached. */
    boolean tryOpen() {
        int before = open.getAndUpdate(count -> count < maximum ? count + 1 : count);
        if (before >= maximum) {
            refused.incrementAndGet();
            return false;
        }
        return true;
    }

    void closed() {
        open.decrementAndGet();
    }
}
