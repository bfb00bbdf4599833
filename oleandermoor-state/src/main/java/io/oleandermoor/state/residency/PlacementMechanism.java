package io.oleandermoor.state.residency;

/** Mechanisms of the placement of models, which can be disabled one by one to measure what each is worth. */
public enum PlacementMechanism {
    /** Protects models of which engines held several copies at first from eviction before their first requests. */
    EXPECTED_DEMAND,
    /** Evicts several models for one that fits in place of no single other model. */
    SEVERAL_EVICTIONS
}
