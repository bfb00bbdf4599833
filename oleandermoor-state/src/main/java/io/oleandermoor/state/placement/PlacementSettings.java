package io.oleandermoor.state.placement;

/**
 * Assumptions about engines, and thresholds of placement.
 *
 * @param engineTokensPerSecond tokens/s that one engine generates over all of its copies
 * @param targetUtilization utilization of an engine up to which copies are planned, as a ratio
 * @param releaseUtilization a copy is evicted for another model only if the utilization of the remaining copies stays
 *     below this ratio; at most {@code targetUtilization}, so that an evicted copy is not loaded again
 * @param paybackHorizonSeconds time within which the gain of a load or move must exceed its cost, in seconds
 * @param moveCostTokens cost of loading one copy: the tokens that could be served instead
 * @param maximumMoves maximum number of moves between engines in one full plan
 */
public record PlacementSettings(
        double engineTokensPerSecond,
        double targetUtilization,
        double releaseUtilization,
        double paybackHorizonSeconds,
        double moveCostTokens,
        int maximumMoves) {

    /** Copies of an adapter. The second one, in another failure domain, remains if the first one is lost. */
    static final int ADAPTER_COPIES = 2;

    /** Copies of a model if memory allows, so that one copy remains after the loss of a failure domain. */
    static final int DESIRED_COPIES = 2;

    /** Validates the values. */
    public PlacementSettings {
        if (!(engineTokensPerSecond > 0)
                || !(paybackHorizonSeconds > 0)
                || !(moveCostTokens >= 0)
                || maximumMoves < 0) {
            throw new IllegalArgumentException("engineTokensPerSecond and paybackHorizonSeconds must be positive,"
                    + " moveCostTokens and maximumMoves not negative");
        }
        if (!(releaseUtilization > 0) || !(targetUtilization >= releaseUtilization) || targetUtilization > 1) {
            throw new IllegalArgumentException("releaseUtilization " + releaseUtilization
                    + " must be positive and at most targetUtilization " + targetUtilization + ", which is at most 1");
        }
    }

    /**
     * Returns the default settings for engines with the given throughput.
     *
     * @param engineTokensPerSecond throughput of one engine in tokens/s
     * @return settings with a target utilization of 70%, a release utilization of 60%, and a move cost equal to the
     *     output of one engine in 30 s, which must be gained within 10 minutes
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
