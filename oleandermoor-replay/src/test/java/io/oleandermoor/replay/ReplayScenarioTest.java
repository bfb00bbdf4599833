package io.oleandermoor.replay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Replays each scenario for both deployments against outcomes stated beforehand. */
final class ReplayScenarioTest {

    private static final long SEED = 1;

    private static ReplayResult replay(Site site, Scenario scenario, Policies policies) throws Exception {
        return new ReplayRunner(new TraceGenerator(site, scenario, SEED), policies, SEED).run();
    }

    /** Guards against any broken guarantee, and against a fleet that cannot serve its ordinary load. */
    @ParameterizedTest
    @CsvSource({
        "CYMRU_WEST, DAY, 0.98, 0.98",
        "DK_JYLLAND, DAY, 0.98, 0.98",
        "CYMRU_WEST, OVERLOAD, 0.90, 0.90",
        "DK_JYLLAND, OVERLOAD, 0.90, 0.90",
        "CYMRU_WEST, DOMAIN_LOSS, 0.85, 0.90",
        "DK_JYLLAND, DOMAIN_LOSS, 0.85, 0.90",
        "CYMRU_WEST, ROLLING_REPLACEMENT, 0.95, 0.95",
        "DK_JYLLAND, ROLLING_REPLACEMENT, 0.95, 0.95",
        "CYMRU_WEST, CRASHING_REQUEST, 0.90, 0.95",
        "DK_JYLLAND, CRASHING_REQUEST, 0.90, 0.95"
    })
    void holdsTheInvariantsAndServesEveryTeam(Site site, Scenario scenario, double attainment, double worstServed)
            throws Exception {
        ReplayResult result = replay(site, scenario, Policies.STANDARD);
        assertGuarantees(result);
        // A request that crashes two engines at once takes both copies of some models; the repair time bounds this.
        assertThat(scenario == Scenario.CRASHING_REQUEST || result.unreachableModelSeconds() == 0)
                .isTrue();
        assertThat(result.worstServed()).isGreaterThanOrEqualTo(worstServed);
        assertThat(result.attainment().values()).allMatch(value -> value >= attainment);
    }

    private static void assertGuarantees(ReplayResult result) {
        assertThat(result.violations()).isEmpty();
        assertThat(result.answered()).isEqualTo(result.requests());
        assertThat(result.tokensOverLimit()).isZero();
    }

    /** Guards against a broken guarantee when the key-value service is down. */
    @ParameterizedTest
    @EnumSource(Site.class)
    void holdsTheInvariantsThroughAStoreOutage(Site site) throws Exception {
        assertGuarantees(replay(site, Scenario.STORE_OUTAGE, Policies.STANDARD));
    }

    /** Guards against teams that lose most of their service while the key-value service is down for long. */
    @ParameterizedTest
    @EnumSource(Site.class)
    void servesEveryTeamThroughAStoreOutage(Site site) throws Exception {
        ReplayResult result = replay(site, Scenario.STORE_OUTAGE, Policies.STANDARD);
        assertThat(result.worstServed()).isGreaterThanOrEqualTo(0.8);
        assertThat(result.attainment().values()).allMatch(value -> value >= 0.8);
    }

    /** Guards against wrongful refusals when nothing fails. */
    @ParameterizedTest
    @EnumSource(Site.class)
    void refusesNothingWithinTheRateOnAnOrdinaryDay(Site site) throws Exception {
        assertThat(replay(site, Scenario.DAY, Policies.STANDARD).wrongfulRefusals())
                .isZero();
    }

    /** Guards against a crashing request that takes one upstream after the other. */
    @Test
    void blocksACrashingRequestAfterTwoCrashes() throws Exception {
        ReplayResult result = replay(Site.CYMRU_WEST, Scenario.CRASHING_REQUEST, Policies.STANDARD);
        assertThat(result.crashes()).isEqualTo(2);
        assertThat(result.blocked()).isEqualTo(6);
    }

    /** Guards against innocent requests that are refused because they ran beside the crashing one. */
    @Test
    void blocksNoOtherRequestInDkJylland() throws Exception {
        assertThat(replay(Site.DK_JYLLAND, Scenario.CRASHING_REQUEST, Policies.STANDARD)
                        .blockedOthers())
                .isZero();
    }

    /** Guards against the same where few engines make it likely that an innocent request meets both crashes. */
    @Test
    void blocksNoOtherRequestInCymruWest() throws Exception {
        assertThat(replay(Site.CYMRU_WEST, Scenario.CRASHING_REQUEST, Policies.STANDARD)
                        .blockedOthers())
                .isZero();
    }

    /** Guards against a result that depends on anything but its arguments. */
    @Test
    void isDeterministic() throws Exception {
        assertThat(replay(Site.CYMRU_WEST, Scenario.OVERLOAD, Policies.STANDARD))
                .isEqualTo(replay(Site.CYMRU_WEST, Scenario.OVERLOAD, Policies.STANDARD));
    }
}
