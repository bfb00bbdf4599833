package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InstanceTableTest {

    private final InstanceTable table = new InstanceTable("a", 1);

    private static UpstreamInstance instance(String id, boolean draining, long started) {
        return instance(id, draining, started, 4);
    }

    private static UpstreamInstance instance(String id, boolean draining, long started, int slots) {
        return new UpstreamInstance(
                id,
                "words",
                "10.0.0.1",
                80,
                "a",
                slots,
                draining,
                OptionalLong.empty(),
                Map.of("m", Set.of("a1")),
                Set.of("m"),
                started,
                SoftwareVersion.UNSTATED);
    }

    private static InstanceQuery query(String target, String... excluded) {
        return new InstanceQuery("words", Optional.of(ModelTarget.parse(target)), Prompt.NONE, Set.of(excluded));
    }

    private Optional<String> chosen(InstanceQuery query) {
        return table.choose(query, 0).instance().map(UpstreamInstance::id);
    }

    @Nested
    class Choosing {

        @Test
        void choosesTheInstanceWithTheLowerLoad() {
            table.put(instance("one", false, 1), 0);
            table.put(instance("two", false, 1), 0);
            table.updatePeerLoads("other-entry", Map.of("one", 3), Map.of(), 0);
            assertThat(chosen(query("m"))).contains("two");
        }

        /** Guards against an engine that processes several long prompts at once, which pauses all of its streams. */
        @Test
        void reportsFullWhileAnotherLongPromptIsPrefilled() {
            Prompt prompt = new Prompt(700, List.of(), List.of());
            InstanceQuery query = new InstanceQuery("words", Optional.of(ModelTarget.parse("m")), prompt, Set.of());
            table.put(instance("one", false, 1), 0);
            InstanceState one = table.state("one").orElseThrow();
            one.requestSent();
            one.prefillStarted(prompt.tokens());
            assertThat(table.choose(query, 0).shortage()).contains(Shortage.FULL);
            one.prefillEnded(prompt.tokens());
            assertThat(chosen(query)).contains("one");
        }

        /** Guards against prompts of several entries that together pause the streams of an engine. */
        @Test
        void reportsFullWhilePromptOfAnotherEntryIsPrefilled() {
            InstanceQuery query = queryWithPromptOf(700);
            table.put(instance("one", false, 1), 0);
            table.updatePeerLoad("other-entry", "one", 1, 700, 0);
            assertThat(table.choose(query, 1).shortage()).contains(Shortage.FULL);
            table.updatePeerLoad("other-entry", "one", 1, 0, 2);
            assertThat(table.choose(query, 2).instance()).isPresent();
        }

        /** Guards against an engine that is blocked for good by the prompt of an entry that has ended. */
        @Test
        void ignoresPromptOfAnEntryThatReportsNoLonger() {
            InstanceQuery query = queryWithPromptOf(700);
            table.put(instance("one", false, 1), 0);
            table.updatePeerLoad("other-entry", "one", 1, 700, 0);
            assertThat(table.choose(query, 1_000).instance()).isPresent();
        }

        /** Guards against an engine that is blocked because the report that a prompt was read was lost. */
        @Test
        void periodicReportReplacesPromptsReportedBefore() {
            InstanceQuery query = queryWithPromptOf(700);
            table.put(instance("one", false, 1), 0);
            table.updatePeerLoad("other-entry", "one", 1, 700, 0);
            table.updatePeerLoads("other-entry", Map.of("one", 1), Map.of(), 1);
            assertThat(table.choose(query, 1).instance()).isPresent();
        }

        private InstanceQuery queryWithPromptOf(long tokens) {
            Prompt prompt = new Prompt(tokens, List.of(), List.of());
            return new InstanceQuery("words", Optional.of(ModelTarget.parse("m")), prompt, Set.of());
        }

        /** Guards against a prompt above the prefill limit that is never accepted by any instance. */
        @Test
        void acceptsAPromptAboveTheLimitWhenNoPrefillIsPending() {
            Prompt prompt = new Prompt(1_000_000, List.of(), List.of());
            table.put(instance("one", false, 1), 0);
            assertThat(chosen(new InstanceQuery("words", Optional.of(ModelTarget.parse("m")), prompt, Set.of())))
                    .contains("one");
        }

        /** Guards against sending all requests with a shared prefix to one loaded instance while others are idle. */
        @Test
        void prefersTheLowerLoadOverACachedPrefix() {
            Prompt prompt = new Prompt(700, List.of(1L, 2L), List.of(100L, 600L));
            table.put(instance("one", false, 1), 0);
            table.put(instance("two", false, 1), 0);
            table.state("one").orElseThrow().recordCachedPrefixes(new Prompt(700, List.of(1L), List.of(100L)));
            table.updatePeerLoads("other-entry", Map.of("one", 1), Map.of(), 0);
            InstanceQuery query = new InstanceQuery("words", Optional.of(ModelTarget.parse("m")), prompt, Set.of());
            assertThat(chosen(query)).contains("two");
        }

        /**
         * Guards against a shared prefix that is processed on several engines because each entry chooses another one.
         */
        @Test
        void twoEntriesChooseTheSameInstanceForASharedPrefix() {
            InstanceTable other = new InstanceTable("a", 99);
            for (String id : List.of("one", "two", "three", "four")) {
                table.put(instance(id, false, 1), 0);
                other.put(instance(id, false, 1), 0);
            }
            for (long prefix = 0; prefix < 50; prefix++) {
                InstanceQuery localQuery = queryWithPrefix(prefix, 1);
                InstanceQuery otherQuery = queryWithPrefix(prefix, 2);
                assertThat(chosen(localQuery))
                        .isEqualTo(other.choose(otherQuery, 0).instance().map(UpstreamInstance::id));
            }
        }

        /** Guards against entries that all choose the instance with the lowest load in their stale peer reports. */
        @Test
        void distributesRequestsWhenPeerLoadsAreStale() {
            for (String id : List.of("one", "two", "three", "four")) {
                table.put(instance(id, false, 1, 12), 0);
            }
            table.updatePeerLoads("other-entry", Map.of("two", 1, "three", 1, "four", 1), Map.of(), 0);
            long idleInstanceCount = 0;
            for (long prefix = 0; prefix < 100; prefix++) {
                idleInstanceCount +=
                        chosen(queryWithPrefix(prefix, 1)).orElseThrow().equals("one") ? 1 : 0;
            }
            // An even distribution is 25; the idle instance gets more because of its lower load, but not all requests.
            assertThat(idleInstanceCount).isBetween(25L, 80L);
        }

        private InstanceQuery queryWithPrefix(long prefix, long own) {
            Prompt prompt = new Prompt(700, List.of(prefix, own), List.of(100L, 600L));
            return new InstanceQuery("words", Optional.of(ModelTarget.parse("m")), prompt, Set.of());
        }

        @Test
        void skipsDrainingAndExcludedInstances() {
            table.put(instance("one", true, 1), 0);
            table.put(instance("two", false, 1), 0);
            assertThat(chosen(query("m"))).contains("two");
            assertThat(table.choose(query("m", "two"), 0).shortage()).contains(Shortage.NO_INSTANCE);
        }

        @Test
        void reportsWhyNoInstanceIsAvailable() {
            table.put(instance("one", false, 1), 0);
            assertThat(table.choose(query("other"), 0).shortage()).contains(Shortage.NOT_RESIDENT);
            assertThat(table.choose(query("m/a2"), 0).shortage()).contains(Shortage.NOT_RESIDENT);
            assertThat(chosen(query("m/a1"))).contains("one");
            table.updatePeerLoads("other-entry", Map.of("one", 4), Map.of(), 0);
            assertThat(table.choose(query("m"), 0).shortage()).contains(Shortage.FULL);
        }

        @Test
        void skipsAnUnreachableInstanceDuringItsBackoff() {
            table.put(instance("one", false, 1), 0);
            table.state("one").orElseThrow().recordUnreachable(0);
            assertThat(chosen(query("m"))).isEmpty();
            assertThat(table.choose(query("m"), 5_000).instance()).isPresent();
        }

        @Test
        void skipsAnInstanceThatDeclinedTheTarget() {
            table.put(instance("one", false, 1), 0);
            table.state("one").orElseThrow().recordMissingTarget(ModelTarget.parse("m/a1"), 0);
            assertThat(chosen(query("m/a1"))).isEmpty();
            assertThat(chosen(query("m"))).contains("one");
        }
    }

    @Nested
    class Slowness {

        private static final long BASELINE_INTERVAL_MILLIS = 25;

        private void recordEvents(String id, long gapMillis, int events) {
            for (int event = 0; event < events; event++) {
                table.recordStreamEvent(id, gapMillis, 0);
            }
        }

        private void addThreeInstances() {
            for (String id : List.of("one", "two", "three")) {
                table.put(instance(id, false, 1, 12), 0);
            }
            recordEvents("two", BASELINE_INTERVAL_MILLIS, 200);
            recordEvents("three", BASELINE_INTERVAL_MILLIS, 200);
        }

        /** Records events of an instance that is five times as slow and so produces a fifth of the events. */
        private void slowDownInstanceOne() {
            for (int round = 0; round < 30; round++) {
                recordEvents("one", 5 * BASELINE_INTERVAL_MILLIS, 1);
                recordEvents("two", BASELINE_INTERVAL_MILLIS, 5);
                recordEvents("three", BASELINE_INTERVAL_MILLIS, 5);
            }
        }

        /** Guards against sending streams to a slow instance because its load is lower than that of the others. */
        @Test
        void prefersLoadedInstancesOverASlowOne() {
            addThreeInstances();
            slowDownInstanceOne();
            table.updatePeerLoads("other-entry", Map.of("two", 4, "three", 4), Map.of(), 0);
            assertThat(table.slowdownRatio("one", 0).orElseThrow()).isBetween(3.0, 5.0);
            assertThat(chosen(query("m"))).isNotEqualTo(Optional.of("one"));
        }

        /** Guards against an instance that is never used again after it has become fast again. */
        @Test
        void choosesASlowInstanceAgainAfterTheDecay() {
            addThreeInstances();
            slowDownInstanceOne();
            table.updatePeerLoads("other-entry", Map.of("two", 4, "three", 4), Map.of(), 0);
            assertThat(table.slowdownRatio("one", 20_000)).isEmpty();
            assertThat(table.choose(query("m"), 20_000).instance().map(UpstreamInstance::id))
                    .contains("one");
        }

        /** Guards against a healthy instance that is considered slow because of one pause of one stream. */
        @Test
        void ignoresASingleLongInterval() {
            addThreeInstances();
            recordEvents("one", BASELINE_INTERVAL_MILLIS, 30);
            recordEvents("one", 100 * BASELINE_INTERVAL_MILLIS, 1);
            assertThat(table.slowdownRatio("one", 0)).isEmpty();
        }
    }

    @Nested
    class PeerLoads {

        /** Guards against wrong sums after peers report again, stop reporting or are removed. */
        @Test
        void sumTheLatestReportOfEachPeer() {
            table.put(instance("one", false, 1), 0);
            table.updatePeerLoads("a", Map.of("one", 2), Map.of(), 0);
            table.updatePeerLoads("b", Map.of("one", 3), Map.of(), 0);
            table.updatePeerLoads("a", Map.of("one", 1), Map.of(), 0);
            assertThat(table.load("one")).isEqualTo(4);
            table.removePeer("b");
            table.removePeer("b");
            assertThat(table.load("one")).isEqualTo(1);
            table.updatePeerLoads("b", Map.of("one", 5), Map.of(), 0);
            table.retainPeers(Set.of("b"));
            assertThat(table.load("one")).isEqualTo(5);
            table.retainPeers(Set.of());
            assertThat(table.load("one")).isZero();
        }
    }

    @Nested
    class ResidentModels {

        /** Guards against a delayed heartbeat that reverts the models that an order has just changed. */
        @Test
        void orderedModelsTakePrecedenceOverAHeartbeat() {
            table.put(instance("one", false, 1), 0);
            table.state("one").orElseThrow().updateOrderedModels(Map.of("n", Set.of()), 100);
            table.put(instance("one", false, 1), 200);
            assertThat(table.choose(query("n"), 200).instance()).isPresent();
            table.put(instance("one", false, 1), 5_000);
            assertThat(table.choose(query("m"), 5_000).instance()).isPresent();
        }

        @Test
        void areResetWhenTheInstanceRestarts() {
            table.put(instance("one", false, 1), 0);
            table.state("one").orElseThrow().updateOrderedModels(Map.of("n", Set.of()), 100);
            table.put(instance("one", false, 2), 200);
            assertThat(table.choose(query("n"), 200).instance()).isEmpty();
            assertThat(table.choose(query("m"), 200).instance()).isPresent();
        }
    }

    @Nested
    class ProbablyGone {

        private static UpstreamInstance at(String id, int port, long started) {
            return new UpstreamInstance(
                    id,
                    "words",
                    "10.0.0.1",
                    port,
                    "a",
                    4,
                    false,
                    OptionalLong.empty(),
                    Map.of("m", Set.of()),
                    Set.of(),
                    started,
                    SoftwareVersion.UNSTATED);
        }

        private boolean probablyGone(String id) {
            return table.state(id).orElseThrow().probablyGone();
        }

        /** Guards against counting copies of a crashed engine until the platform removes it from the list. */
        @Test
        void instanceThatRefusesConnectionsIsProbablyGone() {
            table.put(at("one", 80, 1), 0);
            table.state("one").orElseThrow().recordUnreachable(0);
            assertThat(probablyGone("one")).isFalse();
            table.state("one").orElseThrow().recordUnreachable(500);
            assertThat(probablyGone("one")).isTrue();
            table.state("one").orElseThrow().recordSuccess(900);
            assertThat(probablyGone("one")).isFalse();
        }

        /** Guards against counting copies of an engine that has restarted under another identifier. */
        @Test
        void instanceWhoseAddressALaterOneHasIsGone() {
            table.put(at("one", 80, 1), 0);
            table.put(at("other", 81, 2), 0);
            table.put(at("two", 80, 3), 0);
            assertThat(probablyGone("one")).isTrue();
            assertThat(probablyGone("other")).isFalse();
            assertThat(probablyGone("two")).isFalse();
            assertThat(table.choose(query("m"), 0).instance().map(UpstreamInstance::id))
                    .isNotEqualTo(Optional.of("one"));
        }

        /** Guards against a late copy of the list that makes the later instance look replaced. */
        @Test
        void laterInstanceStaysWhenTheEarlierIsListedAgain() {
            table.put(at("two", 80, 3), 0);
            table.put(at("one", 80, 1), 0);
            assertThat(probablyGone("two")).isFalse();
        }
    }

    @Nested
    class NearDomainPreference {

        private void put(String id, String failureDomain) {
            UpstreamInstance near = instance(id, false, 1, 100);
            table.put(
                    new UpstreamInstance(
                            id,
                            near.service(),
                            near.host(),
                            near.port(),
                            failureDomain,
                            near.slots(),
                            false,
                            OptionalLong.empty(),
                            near.models(),
                            Set.of(),
                            1,
                            SoftwareVersion.UNSTATED),
                    0);
        }

        /** Guards against requests that cross failure domains by chance, whose bytes are expensive. */
        @Test
        void nearInstanceIsChosenWhileItsLoadIsNotMuchHigher() {
            put("near", "a");
            put("far", "b");
            table.updatePeerLoads("other-entry", Map.of("near", 5), Map.of(), 0);
            for (int time = 0; time < 100; time++) {
                assertThat(table.choose(query("m"), time).instance().map(UpstreamInstance::id))
                        .contains("near");
            }
        }

        /** Guards against a near instance that is overloaded while far ones are idle. */
        @Test
        void farInstanceIsChosenOnceTheNearOneIsMuchBusier() {
            put("near", "a");
            put("far", "b");
            table.updatePeerLoads("other-entry", Map.of("near", 20), Map.of(), 0);
            assertThat(chosen(query("m"))).contains("far");
        }
    }
}
