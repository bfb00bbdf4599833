package io.oleandermoor.state.residency;

import java.util.Set;

/**
 * How models are placed on engines.
 *
 * @param policy the policy by which models are distributed over engines
 * @param mechanisms the mechanisms that the policy uses
 */
public record PlacementOptions(ResidencyPolicy policy, Set<PlacementMechanism> mechanisms) {

    /** Copies the mechanisms. */
    public PlacementOptions {
        mechanisms = Set.copyOf(mechanisms);
    }
}
