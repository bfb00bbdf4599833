package io.oleandermoor.replay;

import io.oleandermoor.state.admission.AdmissionPolicy;
import io.oleandermoor.state.placement.PlacementPolicy;
import io.oleandermoor.state.rate.RatePolicy;
import io.oleandermoor.state.routing.RoutingPolicy;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The policies of a replay.
 *
 * @param routing choice of an upstream
 * @param rate how entries obtain tokens
 * @param admission order of waiting requests
 * @param placement copies of models
 */
public record Policies(RoutingPolicy routing, RatePolicy rate, AdmissionPolicy admission, PlacementPolicy placement) {

    /** The policies that the system uses. */
    public static final Policies STANDARD = new Policies(
            RoutingPolicy.AFFINITY, RatePolicy.OWNER_GRANTS, AdmissionPolicy.WEIGHTED, PlacementPolicy.DEMAND);

    /**
     * Returns the baselines; each differs from {@link #STANDARD} in one policy.
     *
     * @return policies by name, in the order in which they are printed
     */
    public static Map<String, Policies> baselines() {
        Policies standard = STANDARD;
        Map<String, Policies> baselines = new LinkedHashMap<>();
        for (RoutingPolicy policy : new RoutingPolicy[] {RoutingPolicy.ROUND_ROBIN, RoutingPolicy.LEAST_LOADED}) {
            baselines.put(
                    "routing " + policy, new Policies(policy, standard.rate, standard.admission, standard.placement));
        }
        baselines.put(
                "rate " + RatePolicy.FIXED_SHARE,
                new Policies(standard.routing, RatePolicy.FIXED_SHARE, standard.admission, standard.placement));
        baselines.put(
                "admission " + AdmissionPolicy.FIRST_COME,
                new Policies(standard.routing, standard.rate, AdmissionPolicy.FIRST_COME, standard.placement));
        for (PlacementPolicy policy : new PlacementPolicy[] {PlacementPolicy.STATIC, PlacementPolicy.LEAST_LOADED}) {
            baselines.put(
                    "placement " + policy, new Policies(standard.routing, standard.rate, standard.admission, policy));
        }
        return baselines;
    }

    /**
     * Returns the policies as text.
     *
     * @return one line
     */
    public String toText() {
        return "routing " + routing + ", rate " + rate + ", admission " + admission + ", placement " + placement;
    }
}
