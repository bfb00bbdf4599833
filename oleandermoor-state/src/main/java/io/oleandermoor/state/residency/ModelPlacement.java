package io.oleandermoor.state.residency;

/** Decides which models engines load and unload. */
interface ModelPlacement {

    /** Adds the orders that should be sent now to a planning round. */
    void place(PlanningRound round);
}
