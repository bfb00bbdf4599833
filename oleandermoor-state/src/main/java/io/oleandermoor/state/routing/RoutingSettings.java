package io.oleandermoor.state.routing;

/**
 * Settings for choosing upstreams. Costs are relative to the slots of an upstream: a cost of 1 corresponds to all of
 * its slots being in use.
 *
 * @param policy the routing policy
 * @param affinityBenefit reduction of the cost of an upstream that has the whole prefix cached
 * @param remoteCost additional cost of an upstream in another failure domain
 * @param fallbackCost additional cost of an upstream that has the base model but not the adapter
 * @param affinityCapacity capacity of the prefix affinity table in prefix blocks, a power of two
 * @param slowStart weight of new copies
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
     * Returns the default settings for a policy. A fully cached prefix outweighs a load of half the slots. The
     * additional cost of a remote failure domain, some milliseconds away, corresponds to a quarter of the slots.
     *
     * @param policy the routing policy
     * @return the default settings
     */
    public static RoutingSettings defaults(RoutingPolicy policy) {
        return new RoutingSettings(
                policy, 0.5, 0.25, 0.5, 1 << 17, new SlowStart(10_000, 0.1), OutlierSettings.defaults());
    }
}
