package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;

/** How models are spread over engines. */
public enum ResidencyPolicy {
    /** A model gets another copy when each of its copies has more than a share of an engine's slots to do. */
    CROWDED_COPIES {
        @Override
        ModelPlacement create(EngineProfile profile) {
            return new ThresholdPlacement(profile);
        }
    },
    /** The move is made that takes most harm from callers: crowded engines, missing models and single copies. */
    LEAST_HARM {
        @Override
        ModelPlacement create(EngineProfile profile) {
            return new CostBasedPlacement(profile);
        }
    };

    abstract ModelPlacement create(EngineProfile profile);
}
