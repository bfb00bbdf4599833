package io.oleandermoor.gateway.request;

/**
 * Bounds the memory for the bodies of requests that are being received, queued or run, over all connections. Not
 * thread-safe.
 */
final class RequestBodyBudget {

    /** Maximum on machines with more memory, so that what an entry keeps does not depend on its machine. */
    private static final long MAXIMUM_BYTES = 64 << 20;
    /**
     * Size up to which a body is accepted even beyond that maximum, up to three quarters of the direct memory, so that
     * large bodies do not affect the requests of other callers.
     */
    private static final long GUARANTEED_BODY_BYTES = 16 << 10;

    private final long maximumBytes;
    private final long guaranteedMaximumBytes;
    private long reservedBytes;

    /**
     * Creates a budget without reservations.
     *
     * @param directBytes the direct memory of this process, three eighths of which are for bodies; the rest is for the
     *     guaranteed size of each body, for partly used buffers and for what is sent
     */
    RequestBodyBudget(long directBytes) {
        maximumBytes = Math.min(MAXIMUM_BYTES, directBytes / 8 * 3);
        guaranteedMaximumBytes = directBytes / 4 * 3;
    }

    /**
     * Reserves memory for a part of a body.
     *
     * @param bytes the size of the part
     * @param bodyBytes the size of the body up to and including the part
     * @return whether the part may be kept; if not, nothing is reserved
     */
    boolean tryReserve(long bytes, long bodyBytes) {
        long limit = bodyBytes > GUARANTEED_BODY_BYTES ? maximumBytes : guaranteedMaximumBytes;
        if (reservedBytes + bytes > limit) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases memory that was reserved. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Returns the reserved memory in bytes. */
    long reservedBytes() {
        return reservedBytes;
    }
}
