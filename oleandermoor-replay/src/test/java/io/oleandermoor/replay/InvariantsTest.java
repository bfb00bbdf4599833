package io.oleandermoor.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Breaks one promise of a fake at a time. */
final class InvariantsTest {

    /** Guards against an invariant check that cannot fail. */
    @ParameterizedTest
    @CsvSource({
        "TAKES_DOUBLE_MEMORY, OVERLOAD, is overcommitted",
        "RUNS_TWICE, OVERLOAD, runs again",
        "NOT_RUN_AFTER_START, OVERLOAD, is reported as not run",
        "ANSWERS_TWICE, OVERLOAD, is answered 2 times",
        "IGNORES_RATE, OVERLOAD, tokens over the limit",
        "LOSES_MODEL, OVERLOAD, has no ready copy beyond the repair time"
    })
    void reportsABrokenFake(Fault fault, Scenario scenario, String message) throws Exception {
        ReplayResult result = new ReplayRunner(
                        new TraceGenerator(Site.CYMRU_WEST, scenario, 1), Policies.STANDARD, 1, Set.of(fault))
                .run();
        assertThat(result.violations())
                .anySatisfy(violation -> assertThat(violation).contains(message));
    }
}
