package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.EngineListing;
import java.util.List;

/**
 * One engine as the placement owner knows it.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param memoryMegabytes accelerator memory for weights, in megabytes
 * @param status whether it can be used
 * @param residents everything that takes or may take memory, including orders in progress
 */
public record EngineState(
        UpstreamId id,
        FailureDomain domain,
        long memoryMegabytes,
        EngineStatus status,
        List<EngineListing.Entry> residents) {

    /** Checks the memory and copies the residents. */
    public EngineState {
        if (memoryMegabytes <= 0) {
            throw new IllegalArgumentException("memoryMegabytes of " + id + " must be positive: " + memoryMegabytes);
        }
        residents = List.copyOf(residents);
    }

    /**
     * Returns the memory that no resident takes.
     *
     * @return megabytes; negative if more is resident than fits
     */
    public long freeMegabytes() {
        long free = memoryMegabytes;
        for (EngineListing.Entry resident : residents) {
            free -= resident.memoryMegabytes();
        }
        return free;
    }
}
