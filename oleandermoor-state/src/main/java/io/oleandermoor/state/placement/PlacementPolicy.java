package io.oleandermoor.state.placement;

/** Determines how many copies of a model are planned, and when surplus copies are removed. */
public enum PlacementPolicy {
    /** Baseline: plans the same number of copies for each model, regardless of demand. */
    STATIC(false) {
        @Override
        double planningDemand(DemandEstimate demand) {
            return 0;
        }

        @Override
        int targetCopies(double planningDemand, int uniformCopies, PlacementSettings settings) {
            return uniformCopies;
        }
    },
    /** Baseline: plans for the current demand on the least loaded engines and removes surplus copies immediately. */
    LEAST_LOADED(false) {
        @Override
        double planningDemand(DemandEstimate demand) {
            return demand.current();
        }

        @Override
        int targetCopies(double planningDemand, int uniformCopies, PlacementSettings settings) {
            return settings.copiesFor(planningDemand, settings.targetUtilization());
        }
    },
    /** Plans for current and forecast demand with hysteresis: the gain of a load or move must exceed its cost. */
    DEMAND(true) {
        @Override
        double planningDemand(DemandEstimate demand) {
            return Math.max(demand.current(), demand.forecast());
        }

        @Override
        int targetCopies(double planningDemand, int uniformCopies, PlacementSettings settings) {
            return settings.copiesFor(planningDemand, settings.targetUtilization());
        }
    };

    private final boolean hysteresis;

    PlacementPolicy(boolean hysteresis) {
        this.hysteresis = hysteresis;
    }

    /** Returns whether loads must gain more than they cost, and surplus copies stay until their memory is needed. */
    boolean hasHysteresis() {
        return hysteresis;
    }

    /** Returns the demand to plan for, in tokens/s. */
    abstract double planningDemand(DemandEstimate demand);

    /** Returns the target number of copies, before the minimum is applied. */
    abstract int targetCopies(double planningDemand, int uniformCopies, PlacementSettings settings);
}
