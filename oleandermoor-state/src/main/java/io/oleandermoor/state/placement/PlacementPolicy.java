package io.oleandermoor.state.placement;

/** How many copies of a model are planned, and when they are given up. */
public enum PlacementPolicy {
    /** The same number of copies for each model, whatever the demand. Baseline. */
    STATIC(false) {
        @Override
        double planningDemand(DemandEstimate demand) {
            return 0;
        }

        @Override
        int targetCopies(double planningDemand, int evenCopies, PlacementSettings settings) {
            return evenCopies;
        }
    },
    /** Copies for the present demand on the least loaded engines; surplus copies are given up at once. Baseline. */
    LEAST_LOADED(false) {
        @Override
        double planningDemand(DemandEstimate demand) {
            return demand.current();
        }

        @Override
        int targetCopies(double planningDemand, int evenCopies, PlacementSettings settings) {
            return settings.copiesFor(planningDemand, settings.targetUtilization());
        }
    },
    /** Copies for the present and forecast demand, with hysteresis: a load or move must pay off. */
    DEMAND(true) {
        @Override
        double planningDemand(DemandEstimate demand) {
            return Math.max(demand.current(), demand.forecast());
        }

        @Override
        int targetCopies(double planningDemand, int evenCopies, PlacementSettings settings) {
            return settings.copiesFor(planningDemand, settings.targetUtilization());
        }
    };

    private final boolean hysteresis;

    PlacementPolicy(boolean hysteresis) {
        this.hysteresis = hysteresis;
    }

    /** Returns whether loads must pay off and surplus copies stay until their memory is needed. */
    boolean hasHysteresis() {
        return hysteresis;
    }

    /** Returns the tokens/s to plan for. */
    abstract double planningDemand(DemandEstimate demand);

    /** Returns the wanted number of copies, before the least number is applied. */
    abstract int targetCopies(double planningDemand, int evenCopies, PlacementSettings settings);
}
