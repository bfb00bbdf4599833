package io.oleandermoor.state.routing;

/**
 * Settings of routing. Costs are in units of all slots of an upstream: a cost of 1 means that every slot is taken.
 *
 * @param policy how an upstream is chosen
 * @param affinityBenefit cost by which an upstream that holds the whole prefix may exceed others
 * @param remoteCost extra cost of an upstream in another failure domain
 * @param fallbackCost extra cost of an upstream that has the base model but not the adapter
 * @param affinityCapacity number of remembered prefix blocks, a power of two
 * @param slowStart share of fresh copies
 * @param outliers limits of outlier ejection
 */
public record RoutingSettings(
        RoutingPolicy policy,
        double affinityBenefit,
        double remoteCost,
        double fallbackCost,
        int affinityCapacity,
        SlowStart slowStart,
        OutlierSettings outliers) {

    /**
     * Returns the usual settings of a policy. A held prefix outweighs half of the slots; a remote failure domain, some
     * milliseconds away, a quarter.
     *
     * @param policy the policy
     * @return the settings
     */
    public static RoutingSettings defaults(RoutingPolicy policy) {
        return new RoutingSettings(
                policy, 0.5, 0.25, 0.5, 1 << 17, new SlowStart(10_000, 0.1), OutlierSettings.defaults());
    }
}
