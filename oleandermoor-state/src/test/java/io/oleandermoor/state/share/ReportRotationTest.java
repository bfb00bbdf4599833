package io.oleandermoor.state.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ReportRotationTest {

    private static final int ENTRIES_PER_TICK = 16;

    private final ReportRotation rotation = new ReportRotation(ENTRIES_PER_TICK);

    private static TreeSet<String> entries(int count) {
        TreeSet<String> names = new TreeSet<>();
        for (int index = 0; index < count; index++) {
            names.add("entry-" + index);
        }
        return names;
    }

    /**
     * Guards against an entry that receives no reports, and against traffic that is quadratic in the number of entries.
     */
    @Property(tries = 200)
    void reportsToEveryEntryOncePerRoundWithinTheTickLimit(@ForAll @IntRange(max = 400) int count) {
        ReportRotation roundRobin = new ReportRotation(ENTRIES_PER_TICK);
        TreeSet<String> names = entries(count);
        List<String> reported = new ArrayList<>();
        for (int tick = 0; tick < roundRobin.roundTicks(count); tick++) {
            List<String> selected = roundRobin.next(names);
            assertThat(selected)
                    .doesNotHaveDuplicates()
                    .hasSizeLessThanOrEqualTo(Math.max(ENTRIES_PER_TICK, (count + 9) / 10));
            reported.addAll(selected);
        }
        assertThat(new TreeSet<>(reported)).isEqualTo(names);
    }

    @Test
    void reportsToAllEntriesAtEveryTickBelowTheLimit() {
        assertThat(rotation.roundTicks(0)).isEqualTo(1);
        assertThat(rotation.next(entries(0))).isEmpty();
        assertThat(rotation.roundTicks(ENTRIES_PER_TICK)).isEqualTo(1);
        assertThat(rotation.next(entries(4))).hasSize(4);
        assertThat(rotation.next(entries(4))).hasSize(4);
    }

    /** Guards against a round that restarts, and reports to the same entries again, when an entry is removed. */
    @Test
    void continuesAfterAnEntryThatWasRemoved() {
        TreeSet<String> names = entries(33);
        List<String> first = rotation.next(names);
        names.remove(first.get(first.size() - 1));
        assertThat(rotation.next(names)).doesNotContainAnyElementsOf(first);
    }
}
