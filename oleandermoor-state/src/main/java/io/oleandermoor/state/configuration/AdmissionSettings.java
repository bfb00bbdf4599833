package io.oleandermoor.state.configuration;

import io.oleandermoor.state.admission.AdmissionPolicy;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * How agents decide between waiting requests and when they refuse one.
 *
 * @param policy the name of the admission policy, one of {@link #POLICY_NAMES}
 * @param worstServedWeight weight of the service received by the worst-served team, 0 or more
 * @param refusalWeight weight of requests refused although within the rate of their team, 0 or more
 * @param batchSharePercent least share of the slots of an upstream that batch work receives when it waits, 0 to 100
 */
public record AdmissionSettings(String policy, int worstServedWeight, int refusalWeight, int batchSharePercent) {

    /** Name of the policy that weighs the worst-served team against wrongful refusals. */
    public static final String WEIGHTED = AdmissionPolicy.WEIGHTED.name();

    /** Name of the baseline policy, which serves requests in the order of their arrival. */
    public static final String FIRST_COME = AdmissionPolicy.FIRST_COME.name();

    /** Names that a configuration may use. */
    public static final Set<String> POLICY_NAMES =
            Arrays.stream(AdmissionPolicy.values()).map(AdmissionPolicy::name).collect(Collectors.toUnmodifiableSet());

    /** Settings in force until an operator sets others: both weights equal, a tenth of the slots for batch work. */
    public static final AdmissionSettings DEFAULT = new AdmissionSettings(WEIGHTED, 1, 1, 10);
}
