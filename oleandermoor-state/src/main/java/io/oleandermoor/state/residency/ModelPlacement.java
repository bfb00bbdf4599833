package io.oleandermoor.state.residency;

/** Decides which models engines load and drop. */
interface ModelPlacement {

    /** Adds the orders that should be given now to a round. */
    void place(PlanningRound round);
}
