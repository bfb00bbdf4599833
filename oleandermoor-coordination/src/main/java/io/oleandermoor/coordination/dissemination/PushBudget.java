package io.oleandermoor.coordination.dissemination;

/** Bounds the bytes of pushed messages; what exceeds them spreads by exchanges only. Not thread-safe. */
final class PushBudget {

    /** Half of the 2 KB/s that control may cost a node; exchanges take the rest. */
    private static final long BYTES_PER_SECOND = 1000;

    private static final long BURST_BYTES = 60_000;

    private long available = BURST_BYTES;
    private long lastMillis = Long.MIN_VALUE;

    boolean take(int bytes, long nowMillis) {
        if (lastMillis != Long.MIN_VALUE) {
            available = Math.min(BURST_BYTES, available + (nowMillis - lastMillis) * BYTES_PER_SECOND / 1000);
        }
        lastMillis = nowMillis;
        if (available < bytes) {
            return false;
        }
        available -= bytes;
        return true;
    }

    /** Takes bytes that are sent in any case. */
    void force(int bytes, long nowMillis) {
        if (!take(bytes, nowMillis)) {
            available -= bytes;
        }
    }
}
