package io.oleandermoor.state.routing;

import java.util.Arrays;

/**
 * Changes to the prefix cache of an engine, identified by the hashes of {@link PromptPrefix}. Events may be delayed or
 * lost.
 *
 * @param sequence sequence number of the event within the incarnation; the sender leaves no gaps
 * @param measuredAtMillis time of the event on the reader's monotonic clock, in milliseconds
 * @param stored hashes of the blocks added to the cache
 * @param evicted hashes of the blocks evicted from the cache
 */
@SuppressWarnings("ArrayRecordComponent") // Events are large and short-lived, so the arrays are copied only once.
public record CacheEvent(long sequence, long measuredAtMillis, long[] stored, long[] evicted) {

    /** Makes defensive copies of the arrays. */
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
