package io.oleandermoor.state.memory;

import io.oleandermoor.state.identity.UpstreamId;

/**
 * Fixed properties of one engine.
 *
 * @param upstream the engine
 * @param capacityMegabytes accelerator memory for weights, in megabytes
 * @param fencing what the engine does with fencing numbers
 * @param maximumOrderDelayMillis longest time from the recording of an order until its last possible effect (its late
 *     or repeated delivery), in milliseconds; includes {@code sendWithinMillis}
 * @param sendTimeoutMillis an order that has not been sent this long after its recording must be dropped, in
 *     milliseconds
 */
public record MemorySettings(
        UpstreamId upstream,
        long capacityMegabytes,
        Fencing fencing,
        long maximumOrderDelayMillis,
        long sendTimeoutMillis) {

    /** Checks the numbers. */
    public MemorySettings {
        if (capacityMegabytes <= 0) {
            throw new IllegalArgumentException("capacityMegabytes must be positive: " + capacityMegabytes);
        }
        if (sendTimeoutMillis < 0 || maximumOrderDelayMillis < sendTimeoutMillis) {
            throw new IllegalArgumentException("longestOrderDelayMillis " + maximumOrderDelayMillis
                    + " must be at least sendWithinMillis " + sendTimeoutMillis + ", which must not be negative");
        }
    }
}
