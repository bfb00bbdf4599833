package io.oleandermoor.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTableTest {

    private static final InstanceId SELF = new InstanceId("self");
    private static final InstanceId PEER = new InstanceId("peer");

    private final MembershipTable table = new MembershipTable(entry(SELF, 1, 1, MemberStatus.READY));

    /** Guards against a leaving process that becomes ready again through a late record. */
    @Property(tries = 200, seed = "20261204")
    void newestRecordWinsInAnyOrder(@ForAll long seed) {
        List<MemberRecord> records = new ArrayList<>();
        for (int incarnation = 1; incarnation <= 3; incarnation++) {
            for (int sequence = 1; sequence <= 4; sequence++) {
                records.add(entry(PEER, incarnation, sequence, MemberStatus.values()[sequence - 1]));
            }
        }
        MemberRecord restarted = entry(PEER, 4, 1, MemberStatus.STARTING);
        records.add(restarted);
        Collections.shuffle(records, new Random(seed));
        MembershipTable shuffled = new MembershipTable(entry(SELF, 1, 1, MemberStatus.READY));
        long last = 0;
        for (MemberRecord received : records) {
            shuffled.receive(received, 0);
            long version = shuffled.member(PEER).map(MemberRecord::version).orElse(last);
            assertThat(version).isGreaterThanOrEqualTo(last);
            last = version;
        }
        assertThat(shuffled.member(PEER)).contains(restarted);
    }

    @Nested
    class Expiry {

        private final MemberRecord peer = entry(PEER, 1, 1, MemberStatus.READY);

        Expiry() {
            table.receive(peer, 0);
        }

        @Test
        void silentProcessIsProbedThenSuspectedThenEnded() {
            assertThat(table.unanswered(PEER, 1_000)).containsExactly(new MembershipEvent.Probe(PEER));
            assertThat(table.unanswered(PEER, 3_000))
                    .containsExactly(new MembershipEvent.Publish(new Suspicion(PEER, peer.version())));
            assertThat(table.tick(3_000 + MembershipTable.EXPIRY_MILLIS - 1)).isEmpty();
            assertThat(table.tick(3_000 + MembershipTable.EXPIRY_MILLIS))
                    .containsExactly(new MembershipEvent.Ended(peer));
            assertThat(table.member(PEER)).isEmpty();
            assertThat(table.receive(peer, 30_000)).isEmpty();
            assertThat(table.member(PEER)).isEmpty();
        }

        @Test
        void newerRecordRefutesASuspicion() {
            table.receive(new Suspicion(PEER, peer.version()), 0);
            table.receive(peer.next(MemberStatus.READY, Optional.empty()), 5_000);
            assertThat(table.tick(60_000)).isEmpty();
        }

        @Test
        void processThatAnswersDoesNotEnd() {
            table.receive(new Suspicion(PEER, peer.version()), 0);
            table.answered(PEER);
            assertThat(table.tick(60_000)).isEmpty();
        }

        @Test
        void processThatAnswersAfterAPartitionReturns() {
            table.receive(new Suspicion(PEER, peer.version()), 0);
            table.tick(60_000);
            assertThat(table.answered(PEER)).containsExactly(new MembershipEvent.Changed(peer));
            assertThat(table.member(PEER)).contains(peer);
        }

        @Test
        void processThatSaidItIsGoneDoesNotReturn() {
            MemberRecord gone = peer.next(MemberStatus.GONE, Optional.empty());
            assertThat(table.receive(gone, 0)).containsExactly(new MembershipEvent.Ended(gone));
            assertThat(table.answered(PEER)).isEmpty();
            assertThat(table.member(PEER)).isEmpty();
        }

        /** The list lags: a process that it does not show may have just started. */
        @Test
        void instanceListOnlyStartsAProbe() {
            assertThat(table.mergeInstanceList(Set.of(), 0)).containsExactly(new MembershipEvent.Probe(PEER));
            assertThat(table.mergeInstanceList(Set.of(), 1_000)).isEmpty();
            table.answered(PEER);
            assertThat(table.tick(60_000)).isEmpty();
            assertThat(table.member(PEER)).contains(peer);
        }
    }

    @Nested
    class Own {

        @Test
        void suspectedProcessRefutesOnce() {
            Suspicion suspicion = new Suspicion(SELF, table.own().version());
            assertThat(table.receive(suspicion, 0)).containsExactly(new MembershipEvent.Refute(table.own()));
            assertThat(table.own().sequence()).isEqualTo(2);
            assertThat(table.receive(suspicion, 0)).isEmpty();
        }

        /** A clock set back across a restart must not leave the old record valid. */
        @Test
        void recordOfALaterIncarnationIsOvertaken() {
            MemberRecord old = entry(SELF, 9, 3, MemberStatus.GONE);
            table.receive(old, 0);
            assertThat(table.own().version()).isGreaterThan(old.version());
            assertThat(table.own().status()).isEqualTo(MemberStatus.READY);
        }
    }

    @Test
    void recordsSurviveTheirItems() throws IOException {
        AgentDetail engine = AgentDetail.engine(
                new UpstreamId("engine-1"), Set.of(new ModelName("m")), Set.of(new AdapterName("a")), 80_000);
        AgentDetail service = AgentDetail.service(new UpstreamId("shop-1"), new ServiceName("shop"));
        for (AgentDetail detail : List.of(engine, service)) {
            MemberRecord agent = new MemberRecord(
                    PEER,
                    MemberRole.AGENT,
                    "10.0.0.1:7000",
                    new FailureDomain("west-1"),
                    1_700_000_000_000L,
                    3,
                    MemberStatus.LEAVING,
                    Optional.of(detail));
            Item item = MemberItems.write(agent);
            assertThat(item.version()).isEqualTo(agent.version());
            assertThat(MemberItems.read(item)).isEqualTo(agent);
        }
        Suspicion suspicion = new Suspicion(PEER, 7);
        assertThat(MemberItems.readSuspicion(MemberItems.write(suspicion))).isEqualTo(suspicion);
    }

    @Test
    void atMostThreeReadyEntriesPerRegionReadTheService() {
        List<MemberRecord> members = new ArrayList<>();
        for (int index = 0; index < 340; index++) {
            MemberStatus status = index % 10 == 0 ? MemberStatus.LEAVING : MemberStatus.READY;
            members.add(entry(new InstanceId("entry-" + index), 1, 1, status, "domain-" + index % 12));
        }
        Set<InstanceId> all = new java.util.HashSet<>();
        for (int region = 0; region < 3; region++) {
            List<InstanceId> chosen = ServiceReaders.choose(
                    members,
                    domain -> new Region(
                            "region-" + Integer.parseInt(domain.value().substring("domain-".length())) / 4),
                    new Region("region-" + region));
            assertThat(chosen).hasSize(3);
            all.addAll(chosen);
        }
        assertThat(all).hasSize(9).allMatch(id -> !id.value().endsWith("0"));
    }

    /** Guards against a table that threads leave with an older record. */
    @Test
    void recordsAndAnswersAreLinearizable() {
        new StressOptions()
                .iterations(5)
                .invocationsPerIteration(150)
                .threads(3)
                .actorsPerThread(3)
                .check(SharedTable.class);
    }

    private static MemberRecord entry(InstanceId instance, long incarnation, long sequence, MemberStatus status) {
        return entry(instance, incarnation, sequence, status, "west-1");
    }

    private static MemberRecord entry(
            InstanceId instance, long incarnation, long sequence, MemberStatus status, String domain) {
        return new MemberRecord(
                instance,
                MemberRole.ENTRY,
                "10.0.0.1:7000",
                new FailureDomain(domain),
                incarnation,
                sequence,
                status,
                Optional.empty());
    }

    /** The operations that lincheck runs from several threads. */
    public static class SharedTable {

        private final MembershipTable table = new MembershipTable(entry(SELF, 1, 1, MemberStatus.READY));

        @Operation
        public int receive(int sequence) {
            return table.receive(entry(PEER, 1, 1 + Math.floorMod(sequence, 4), MemberStatus.READY), 0)
                    .size();
        }

        @Operation
        public int unanswered() {
            return table.unanswered(PEER, 0).size();
        }

        @Operation
        public int expire() {
            return table.tick(MembershipTable.EXPIRY_MILLIS).size();
        }

        @Operation
        public int answered() {
            return table.answered(PEER).size();
        }

        @Operation
        public String member() {
            return table.member(PEER).toString();
        }
    }
}
