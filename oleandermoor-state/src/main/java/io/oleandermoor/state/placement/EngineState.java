package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.EngineListing;
import java.util.List;

/**
 * State of one engine as known to the placement owner.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param memoryMegabytes accelerator memory for weights, in megabytes
 * @param status its availability
 * @param residents all weights that use or may use memory, including those of orders in progress
 */
public record EngineState(
        UpstreamId id,
        FailureDomain domain,
        long memoryMegabytes,
        EngineStatus status,
        List<EngineListing.Entry> residents) {

    /** Validates the memory and copies the residents. */
    public EngineState {
        if (memoryMegabytes <= 0) {
            throw new IllegalArgumentException("memoryMegabytes of " + id + " must be positive: " + memoryMegabytes);
        }
        residents = List.copyOf(residents);
    }

    /**
     * Returns the memory that is not used by residents.
     *
     * @return free memory in megabytes, negative if the residents exceed the memory of the engine
     */
    public long freeMegabytes() {
        long free = memoryMegabytes;
        for (EngineListing.Entry resident : residents) {
            free -= resident.memoryMegabytes();
        }
        return free;
    }
}
