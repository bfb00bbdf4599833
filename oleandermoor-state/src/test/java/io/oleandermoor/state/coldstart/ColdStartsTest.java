package io.oleandermoor.state.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.coldstart.ColdStarts.ColdTime;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.Prompt;
import io.oleandermoor.state.fleet.ColdStartProfile;
import io.oleandermoor.state.fleet.InstanceDescription;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.fleet.UpstreamService;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ColdStartsTest {

    private static final OptionalLong UNKNOWN = OptionalLong.empty();
    private static final OptionalLong WARM = OptionalLong.of(0);

    private final InstanceTable table = new InstanceTable("a", 1);
    private final ColdStarts coldStarts = new ColdStarts(new ColdStartBounds(1.5, 5), new SplittableRandom(1));
    private final List<ColdTime> coldTimes = new ArrayList<>();
    private long revision;

    @BeforeEach
    void configure() {
        table.addRule(coldStarts);
        coldStarts.setListener(new ColdStarts.Listener() {
            @Override
            public void coldBegan(ColdTime coldTime, long nowMillis) {
                coldTimes.add(coldTime);
            }
        });
        coldStarts.configure(List.of(service(Optional.of(new ColdStartProfile(3_000, 10)))), 0);
        coldStarts.recordEntries(10, 0, -10_000);
    }

    private static UpstreamService service(Optional<ColdStartProfile> coldStart) {
        return new UpstreamService("words", 100, Optional.empty(), coldStart);
    }

    private void describe(long started, OptionalLong coldRemaining, long now) {
        UpstreamInstance instance = new UpstreamInstance(
                "one",
                "words",
                "10.0.0.1",
                80,
                "a",
                100,
                false,
                OptionalLong.empty(),
                Map.of(),
                Set.of(),
                started,
                SoftwareVersion.UNSTATED);
        table.put(instance, now);
        coldStarts.recordDescription(new InstanceDescription(instance, coldRemaining), ++revision, now);
    }

    private boolean usable(long now) {
        InstanceQuery query = new InstanceQuery("words", Optional.empty(), Prompt.NONE, Set.of());
        return table.choose(query, now).instance().isPresent();
    }

    /** Returns how many of the requests that arrive every 10 ms the instance gets. */
    private int sends(long from, long to) {
        int count = 0;
        for (long now = from; now < to; now += 10) {
            if (usable(now)) {
                table.recordSend("one", now);
                count++;
            }
        }
        return count;
    }

    private List<ColdCause> causes() {
        return coldTimes.stream().map(ColdTime::cause).toList();
    }

    @Nested
    class ColdInstances {

        /** Guards against a share that exceeds the equal part of the rate: 10 a second among 10 entries. */
        @Test
        void getTheShareOfThisEntry() {
            describe(1, OptionalLong.of(5_000), 0);
            assertThat(sends(0, 5_000)).isBetween(3, 5);
            assertThat(coldTimes).hasSize(1);
        }

        @Test
        void areUsedInFullAfterTheirColdTime() {
            describe(1, OptionalLong.of(500), 0);
            sends(0, 799);
            assertThat(sends(800, 1_000)).isEqualTo(20);
        }

        /** Guards against a cold time that goes on as long as an old description is read again. */
        @Test
        void areNotColdLongerBecauseTheSameRevisionIsReadAgain() {
            describe(1, OptionalLong.of(500), 0);
            revision--;
            describe(1, OptionalLong.of(500), 700);
            assertThat(sends(800, 1_000)).isEqualTo(20);
        }

        /** Guards against an instance that is sent its full rate although it has become cold again. */
        @Test
        void areLimitedAgainWhenTheyBecomeColdAgain() {
            describe(1, WARM, 0);
            assertThat(sends(0, 500)).isEqualTo(50);
            describe(1, OptionalLong.of(3_000), 500);
            assertThat(sends(500, 1_500)).as("what was sent before counts").isLessThanOrEqualTo(1);
        }

        /** Guards against sends by an entry that does not know the number of entries. */
        @Test
        void getNothingUntilTheEntriesAreKnown() {
            ColdStarts fresh = new ColdStarts(new ColdStartBounds(1.5, 5), new SplittableRandom(1));
            InstanceTable other = new InstanceTable("a", 1);
            other.addRule(fresh);
            fresh.configure(List.of(service(Optional.of(new ColdStartProfile(3_000, 10)))), 0);
            describe(1, OptionalLong.of(9_000), 0);
            UpstreamInstance instance = table.state("one").orElseThrow().instance();
            other.put(instance, 0);
            fresh.recordDescription(new InstanceDescription(instance, OptionalLong.of(9_000)), 1, 0);
            InstanceQuery query = new InstanceQuery("words", Optional.empty(), Prompt.NONE, Set.of());
            assertThat(other.choose(query, 4_000).instance()).isEmpty();
            fresh.recordEntries(1, 0, 4_000);
            assertThat(other.choose(query, 5_900).instance()).isEmpty();
            assertThat(other.choose(query, 6_100).instance()).isPresent();
        }

        @Test
        void areNotLimitedIfTheServiceHasNoColdInstances() {
            coldStarts.configure(List.of(service(Optional.empty())), 0);
            describe(1, OptionalLong.of(5_000), 0);
            assertThat(sends(0, 100)).isEqualTo(10);
            assertThat(coldTimes).isEmpty();
        }
    }

    @Nested
    class UndescribedInstances {

        @Test
        void areColdAfterARunThatThisEntryHasSeenStart() {
            coldStarts.recordListRead();
            describe(1, UNKNOWN, 0);
            assertThat(sends(0, 2_999)).isLessThanOrEqualTo(3);
            assertThat(sends(3_000, 3_100)).isEqualTo(10);
            describe(2, UNKNOWN, 5_000);
            assertThat(causes()).containsExactly(ColdCause.NEW_RUN, ColdCause.NEW_RUN);
        }

        @Test
        void areWarmIfTheyWereInTheFirstList() {
            describe(1, UNKNOWN, 0);
            coldStarts.recordListRead();
            assertThat(sends(0, 100)).isEqualTo(10);
        }
    }

    @Nested
    class LossOfContact {

        /** Guards against a restart under the same identifier before the list says so. */
        @Test
        void makesAnInstanceColdFromTheNextConnection() {
            describe(1, WARM, 0);
            coldStarts.recordContactLost("one");
            assertThat(usable(1_000)).isTrue();
            table.recordSend("one", 1_000);
            assertThat(coldStarts.confirmSend("one", 1_000, 1_003)).isFalse();
            assertThat(causes()).containsExactly(ColdCause.RECONNECTED);
            describe(1, WARM, 1_100);
            assertThat(sends(1_100, 4_000)).as("a late description").isLessThanOrEqualTo(3);
            assertThat(sends(4_003, 4_103)).isEqualTo(10);
        }

        @Test
        void doesNotAffectOpenConnections() {
            describe(1, WARM, 0);
            table.recordSend("one", 10);
            assertThat(coldStarts.confirmSend("one", 10, 12)).isTrue();
            assertThat(coldTimes).isEmpty();
        }
    }

    @Nested
    class GivingBack {

        private long firstUsable(long from) {
            long now = from;
            while (!usable(now)) {
                now++;
            }
            return now;
        }

        /** Guards against a share that is spent on requests that the instance declined. */
        @Test
        void restoresTheShareOfADeclinedRequest() {
            describe(1, OptionalLong.of(9_000), 0);
            long first = firstUsable(0);
            table.recordSend("one", first);
            assertThat(usable(first + 1)).isFalse();
            coldStarts.giveBack("one", first);
            assertThat(usable(first + 1)).isTrue();
        }

        /** Guards against a second request within the interval because an earlier one was declined late. */
        @Test
        void keepsTheIntervalAfterALaterSend() {
            describe(1, OptionalLong.of(9_000), 0);
            long first = firstUsable(0);
            table.recordSend("one", first);
            long second = firstUsable(first + 1);
            table.recordSend("one", second);
            coldStarts.giveBack("one", first);
            assertThat(firstUsable(second + 1)).isGreaterThanOrEqualTo(second + 1_000);
        }
    }

    @Nested
    class Readmission {

        @Test
        void makesTheInstancesOfTheDomainCold() {
            describe(1, WARM, 0);
            coldStarts.domainReadmitted("b", 1_000);
            assertThat(sends(1_000, 1_100)).isEqualTo(10);
            coldStarts.domainReadmitted("a", 2_000);
            assertThat(sends(2_000, 4_999)).isLessThanOrEqualTo(3);
            assertThat(causes()).containsExactly(ColdCause.READMITTED);
        }

        @Test
        void endsWithADescriptionThatSaysWarm() {
            describe(1, WARM, 0);
            coldStarts.domainReadmitted("a", 2_000);
            describe(1, WARM, 3_100);
            assertThat(sends(3_100, 3_200)).isEqualTo(10);
        }

        /** Guards against a description that was written before the readmission and arrives after it. */
        @Test
        void doesNotEndWithADescriptionThatArrivesAtOnce() {
            describe(1, WARM, 0);
            coldStarts.domainReadmitted("a", 2_000);
            describe(1, WARM, 2_500);
            assertThat(sends(2_500, 4_999)).isLessThanOrEqualTo(3);
        }
    }

    @Nested
    class Removal {

        /** Guards against state that is kept for instances that are gone, and against reusing it. */
        @Test
        void forgetsTheInstance() {
            describe(1, OptionalLong.of(5_000), 0);
            coldStarts.remove("one");
            table.remove("one");
            describe(1, WARM, 100);
            assertThat(sends(100, 200)).isEqualTo(10);
        }
    }

    @Nested
    class NumberOfEntries {

        /** Guards against shares that grow while an entry that has left the list still sends. */
        @Test
        void isTheLargestOneOfTheLastThirtySeconds() {
            EntryCount count = new EntryCount();
            count.record(27, 0, 0);
            count.record(5, 0, 10_000);
            count.record(9, 0, 20_000);
            assertThat(count.maximum(39_999)).isEqualTo(27);
            assertThat(count.maximum(40_000)).isEqualTo(9);
            count.record(3, 0, 50_000);
            assertThat(count.maximum(79_999)).isEqualTo(9);
            assertThat(count.maximum(80_000)).isEqualTo(3);
        }
    }
}
