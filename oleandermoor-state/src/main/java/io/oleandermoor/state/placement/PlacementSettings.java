package io.oleandermoor.state.placement;

/**
 * Assumptions and thresholds of placement.
 *
 * @param engineTokensPerSecond tokens/s that one engine generates over all of its copies
 * @param targetUtilization share of an engine up to which copies are planned
 * @param releaseUtilization a copy is given up for another model only if the rest stays below this share; lower than
 *     {@code targetUtilization}, so that a copy is not given up and loaded again
 * @param paybackHorizonSeconds how long a load or move must pay off, in seconds
 * @param moveCostTokens tokens that could be served instead of loading one copy
 * @param maximumMoves most moves between engines in one full plan
 */
public record PlacementSettings(
        double engineTokensPerSecond,
        double targetUtilization,
        double releaseUtilization,
        double paybackHorizonSeconds,
        double moveCostTokens,
        int maximumMoves) {

    /** Copies of an adapter: the second one, in another failure domain, covers the loss of the first. */
    static final int ADAPTER_COPIES = 2;

    /** Copies of a model to keep where memory allows, so that the loss of one failure domain leaves one. */
    static final int DESIRED_COPIES = 2;

    /** Checks the numbers. */
    public PlacementSettings {
        if (!(engineTokensPerSecond > 0)
                || !(paybackHorizonSeconds > 0)
                || !(moveCostTokens >= 0)
                || maximumMoves < 0) {
            throw new IllegalArgumentException("engineTokensPerSecond and horizonSeconds must be positive,"
                    + " moveCostTokens and maximumMoves not negative");
        }
        if (!(releaseUtilization > 0) || !(targetUtilization >= releaseUtilization) || targetUtilization > 1) {
            throw new IllegalArgumentException("releaseUtilization " + releaseUtilization
                    + " must be positive and at most targetUtilization " + targetUtilization + ", which is at most 1");
        }
    }

    /**
     * Returns settings for engines of a given speed.
     *
     * @param engineTokensPerSecond tokens/s of one engine
     * @return a target of 70% and a release threshold of 60% of an engine, and a move that must gain, within 10
     *     minutes, what an engine generates in 30 s
     */
    public static PlacementSettings forEngines(double engineTokensPerSecond) {
        return new PlacementSettings(engineTokensPerSecond, 0.7, 0.6, 600, 30 * engineTokensPerSecond, 64);
    }

    int copiesFor(double demand, double utilization) {
        return (int) Math.ceil(demand / (engineTokensPerSecond * utilization));
    }

    boolean exceedsMoveCost(double gainTokensPerSecond) {
        return gainTokensPerSecond * paybackHorizonSeconds > moveCostTokens;
    }
}
