package io.oleandermoor.state.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceRule.Verdict;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.Prompt;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvacuationRuleTest {

    private static final long START_MILLIS = 100_000;
    private static final long DEADLINE_MILLIS = START_MILLIS + 2_500;

    private final EvacuationSchedule schedule = new EvacuationSchedule(5_000);
    private final InstanceTable table = new InstanceTable("a", 1);
    private final UpstreamInstance holder = instance("in-b", "b", Map.of("m", Set.of()));

    private static UpstreamInstance instance(String id, String failureDomain, Map<String, Set<String>> models) {
        return new UpstreamInstance(
                id,
                "words",
                "10.0.0.1",
                80,
                failureDomain,
                4,
                false,
                OptionalLong.empty(),
                models,
                Set.of(),
                1,
                SoftwareVersion.UNSTATED);
    }

    private InstanceSelection choose(long nowMillis) {
        return table.choose(
                new InstanceQuery("words", Optional.of(ModelTarget.parse("m")), Prompt.NONE, Set.of()), nowMillis);
    }

    private Optional<String> chosen(long nowMillis) {
        return choose(nowMillis).instance().map(UpstreamInstance::id);
    }

    @BeforeEach
    void begin() {
        table.addRule(new EvacuationRule(schedule));
        table.put(holder, 0);
        table.put(instance("in-a", "a", Map.of()), 0);
        schedule.begin("b", OptionalLong.of(1_000), START_MILLIS);
    }

    @Nested
    class Leaving {

        /** Guards against refusing requests whose model is loaded elsewhere only while the evacuation begins. */
        @Test
        void onlyHolderIsChosenUntilAnotherDomainHoldsTheModel() {
            assertThat(chosen(DEADLINE_MILLIS - 1)).contains("in-b");
            assertThat(table.mayHoldModels(holder, START_MILLIS)).isFalse();
            table.put(instance("in-a-2", "a", holder.models()), 0);
            table.updatePeerLoads("other-entry", Map.of("in-a-2", 3), Map.of(), 0);
            assertThat(chosen(START_MILLIS)).contains("in-a-2");
        }

        /** Guards against waiting for a briefly full instance of the domain while another one of it is free. */
        @Test
        void otherHolderOfTheDomainIsChosenWhileOneIsFull() {
            table.put(instance("in-b-2", "b", holder.models()), 0);
            table.addRule((state, query, load, nowMillis) ->
                    state.instance().equals(holder) ? Verdict.FULL : Verdict.ALLOWED);
            assertThat(chosen(START_MILLIS)).contains("in-b-2");
        }
    }

    @Nested
    class Evacuated {

        /** Guards against sending over a connection that was opened before the deadline and is ready after it. */
        @Test
        void nothingIsSentFromTheDeadlineOn() {
            assertThat(schedule.begin("b", OptionalLong.of(0), DEADLINE_MILLIS - 1))
                    .isEmpty();
            assertThat(table.isWithdrawn(holder, DEADLINE_MILLIS - 1)).isFalse();
            assertThat(table.isWithdrawn(holder, DEADLINE_MILLIS)).isTrue();
            assertThat(choose(DEADLINE_MILLIS).shortage()).contains(Shortage.NOT_RESIDENT);
        }

        /** Guards against refusing requests that could wait for a load, because the last copy has asked for a pause. */
        @Test
        void pauseOfAnInstanceDoesNotKeepRequestsFromWaitingForALoad() {
            table.notices().recordPause(holder, 1_000, DEADLINE_MILLIS);
            assertThat(choose(DEADLINE_MILLIS).shortage()).contains(Shortage.NOT_RESIDENT);
        }

        @Test
        void endIsReportedOnceAndReadmitsTheDomain() {
            List<String> readmitted = new ArrayList<>();
            schedule.setReadmissionListener((failureDomain, nowMillis) -> readmitted.add(failureDomain));
            assertThat(schedule.end("b", DEADLINE_MILLIS)).isTrue();
            assertThat(schedule.end("b", DEADLINE_MILLIS)).isFalse();
            assertThat(readmitted).containsExactly("b");
            assertThat(chosen(DEADLINE_MILLIS)).contains("in-b");
        }
    }
}
