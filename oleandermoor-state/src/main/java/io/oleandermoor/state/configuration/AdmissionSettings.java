package io.oleandermoor.state.configuration;

import io.oleandermoor.state.admission.AdmissionPolicy;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Settings for how agents order waiting requests and when they refuse one.
 *
 * @param policy the name of the admission policy, one of {@link #POLICY_NAMES}
 * @param worstServedWeight weight of the objective to improve the service of the worst-served team, 0 or more
 * @param refusalWeight weight of the objective to refuse few requests that are within the rate of their team, 0 or more
 * @param batchSharePercent minimum percentage of an upstream's served tokens for batch work while any is waiting, 0 to
 *     100
 */
public record AdmissionSettings(String policy, int worstServedWeight, int refusalWeight, int batchSharePercent) {

    /**
     * Name of the policy that balances the service of the worst-served team against the refusal of requests that are
     * within the rate of their team.
     */
    public static final String WEIGHTED = AdmissionPolicy.WEIGHTED.name();

    /** Name of the baseline policy, which serves requests in order of arrival. */
    public static final String FIRST_COME = AdmissionPolicy.FIRST_COME.name();

    /** Names of all policies that a configuration may specify. */
    public static final Set<String> POLICY_NAMES =
            Arrays.stream(AdmissionPolicy.values()).map(AdmissionPolicy::name).collect(Collectors.toUnmodifiableSet());

    /** Settings used until an operator sets others: equal weights and a tenth of the served tokens for batch work. */
    public static final AdmissionSettings DEFAULT = new AdmissionSettings(WEIGHTED, 1, 1, 10);
}
