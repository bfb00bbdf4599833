package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import java.util.Set;

/** Policies by which models are distributed over engines. */
public enum ResidencyPolicy {
    /** Adds a copy of a model when the demand for each copy exceeds a fraction of an engine's slots. */
    CROWDED_COPIES {
        @Override
        ModelPlacement create(EngineProfile profile, Set<PlacementMechanism> mechanisms) {
            return new ThresholdPlacement(profile);
        }
    },
    /** Minimizes the cost for callers that overloaded engines, missing models and single copies cause. */
    LEAST_HARM {
        @Override
        ModelPlacement create(EngineProfile profile, Set<PlacementMechanism> mechanisms) {
            return new CostBasedPlacement(profile, mechanisms);
        }
    };

    abstract ModelPlacement create(EngineProfile profile, Set<PlacementMechanism> mechanisms);
}
