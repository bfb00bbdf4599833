package io.oleandermoor.state.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.CrashAttribution.RunningRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class CrashRegistryTest {

    private static Crash crash(int upstream, long atMillis) {
        return new Crash(new UpstreamId("u" + upstream), 1, atMillis);
    }

    @Test
    @DisplayName("Guards against a block after one crash that is reported twice, and against a wrong block duration")
    void blocksFingerprintForTenMinutesAfterTwoDifferentCrashes() {
        CrashRegistry registry = new CrashRegistry(2);
        registry.add("f", crash(1, 1_000));
        registry.add("f", crash(1, 1_500));
        assertThat(registry.isBlocked("f", 2_000)).isFalse();
        registry.add("f", crash(2, 3_000));
        assertThat(registry.isBlocked("f", 602_999)).isTrue();
        assertThat(registry.isBlocked("f", 603_000)).isFalse();
        registry.add("g", crash(1, 4_000));
        registry.add("h", crash(1, 5_000));
        assertThat(registry.snapshot()).as("bounded").containsOnlyKeys("g", "h");
        registry.expire(2_000_000);
        assertThat(registry.snapshot()).isEmpty();
    }

    @Test
    @DisplayName("Guards against a crash attributed to a long-running request of another team")
    void attributesCrashToRequestThatRanAloneOrStartedRecently() {
        assertThat(CrashAttribution.attributedFingerprints(List.of(new RunningRequest("old", 0)), 10_000))
                .containsExactly("old");
        assertThat(CrashAttribution.attributedFingerprints(
                        List.of(new RunningRequest("old", 0), new RunningRequest("new", 8_000)), 10_000))
                .containsExactly("new");
    }

    /** Guards against processes whose state differs because they received reports in another order or repeatedly. */
    @Property(tries = 300, seed = "11")
    void stateIsIndependentOfOrderAndRepetitionOfReports(
            @ForAll @Size(max = 30) List<@IntRange(max = 999) Integer> numbers, @ForAll int shuffleSeed) {
        CrashRegistry first = new CrashRegistry(100);
        CrashRegistry second = new CrashRegistry(100);
        List<Integer> shuffled = new ArrayList<>(numbers);
        shuffled.addAll(numbers);
        Collections.shuffle(shuffled, new Random(shuffleSeed));
        numbers.forEach(number -> first.add("f" + number % 2, crash(number % 7, number)));
        shuffled.forEach(number -> second.add("f" + number % 2, crash(number % 7, number)));
        assertThat(second.snapshot()).isEqualTo(first.snapshot());
        second.merge(first.snapshot());
        assertThat(second.snapshot()).isEqualTo(first.snapshot());
    }
}
