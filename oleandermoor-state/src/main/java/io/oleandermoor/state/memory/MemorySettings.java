package io.oleandermoor.state.memory;

import io.oleandermoor.state.identity.UpstreamId;

/**
 * Memory capacity and order delays of one engine.
 *
 * @param upstream the engine
 * @param capacityMegabytes accelerator memory available for weights, in megabytes
 * @param fencing how the engine handles fencing numbers
 * @param maximumOrderDelayMillis maximum time from the recording of an order until its last possible effect (a late or
 *     repeated delivery), in milliseconds; includes {@code sendTimeoutMillis}
 * @param sendTimeoutMillis time from the recording of an order after which it must be dropped if it has not been sent,
 *     in milliseconds
 */
public record MemorySettings(
        UpstreamId upstream,
        long capacityMegabytes,
        Fencing fencing,
        long maximumOrderDelayMillis,
        long sendTimeoutMillis) {

    /** Validates the capacity and the delays. */
    public MemorySettings {
        if (capacityMegabytes <= 0) {
            throw new IllegalArgumentException("capacityMegabytes must be positive: " + capacityMegabytes);
        }
        if (sendTimeoutMillis < 0 || maximumOrderDelayMillis < sendTimeoutMillis) {
            throw new IllegalArgumentException("maximumOrderDelayMillis " + maximumOrderDelayMillis
                    + " must be at least sendTimeoutMillis " + sendTimeoutMillis + ", which must not be negative");
        }
    }
}
