package io.oleandermoor.state.routing;

import java.util.Arrays;

/**
 * Changes of the prefix cache of an engine, in terms of the hashes of {@link PromptPrefix}. Events arrive late, and
 * some never arrive.
 *
 * @param sequence number of the event within the incarnation, without gaps when sent
 * @param measuredAtMillis time of the event on the reader's monotonic clock, in milliseconds
 * @param stored hashes of the blocks that are cached now
 * @param evicted hashes of the blocks that are no longer cached
 */
@SuppressWarnings("ArrayRecordComponent") // Events are large and short-lived; the arrays are copied once.
public record CacheEvent(long sequence, long measuredAtMillis, long[] stored, long[] evicted) {

    /** Copies the arrays. */
    public CacheEvent {
        stored = stored.clone();
        evicted = evicted.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CacheEvent event
                && sequence == event.sequence
                && measuredAtMillis == event.measuredAtMillis
                && Arrays.equals(stored, event.stored)
                && Arrays.equals(evicted, event.evicted);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(sequence) * 31 + Arrays.hashCode(stored);
    }
}
