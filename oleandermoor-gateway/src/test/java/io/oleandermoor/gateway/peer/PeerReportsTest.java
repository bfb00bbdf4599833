package io.oleandermoor.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.ReportKind;
import io.oleandermoor.state.share.SharedTokenBucket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what an entry knows of another one after reports that arrived, were lost, or came from another version. */
class PeerReportsTest {

    private static final String SENDER = "sender";
    private static final int MAXIMUM_BYTES = 300;
    private static final long FULL_TICKS = 10;
    private static final double LOSS = 0.3;

    /** A sender and a receiver that know the same names. */
    private static final class Link {

        private final NameHashes instances;
        private final NameHashes teams;
        private final OwnLoads own = new OwnLoads(FULL_TICKS);
        private final PeerReports received;
        private final Map<String, EntryLoad> loads = new HashMap<>();
        private final Map<String, Long> totals = new HashMap<>();
        private final Map<String, SharedTokenBucket> buckets = new HashMap<>();
        private final int instanceCount;
        private long incarnation = 1;
        private long tick;

        private Link(int instanceCount, int teamCount, ToIntFunction<String> hash) {
            this.instanceCount = instanceCount;
            instances = new NameHashes(hash);
            teams = new NameHashes(hash);
            received = new PeerReports(instances, teams);
            Set<String> ids = new TreeSet<>();
            for (int index = 0; index < instanceCount; index++) {
                ids.add("engine-" + index);
            }
            for (int index = 0; index < teamCount; index++) {
                totals.put("team-" + index, 0L);
                buckets.put("team-" + index, new SharedTokenBucket(0, 1e9, 0));
            }
            instances.update(ids);
            teams.update(totals.keySet());
        }

        private static Link withRealHash(int instanceCount, int teamCount) {
            NameHashes hashes = new NameHashes();
            return new Link(instanceCount, teamCount, hashes::hash);
        }

        /** Returns the datagrams of the next tick. */
        private List<EntryReport> report() throws InvalidProtocolBufferException {
            tick++;
            own.update(loads, totals);
            own.retainPeers(Set.of("receiver"));
            long since = own.beginReport("receiver", tick, 1);
            EntryReport header = EntryReport.newBuilder()
                    .setKind(
                            since == OwnLoads.NO_VERSION ? ReportKind.REPORT_KIND_FULL : ReportKind.REPORT_KIND_CHANGES)
                    .setEntry(SENDER)
                    .setIncarnation(incarnation)
                    .build();
            return decode(new ReportParts(header, MAXIMUM_BYTES, instances, teams)
                    .addLoads(own.loadsSince(since))
                    .addTotals(own.totalsSince(since))
                    .build());
        }

        private EntryReport loadChange(String id) throws InvalidProtocolBufferException {
            EntryLoad load = loads.getOrDefault(id, EntryLoad.NONE);
            own.updateLoad(id, load);
            EntryReport header = EntryReport.newBuilder()
                    .setKind(ReportKind.REPORT_KIND_LOADS)
                    .setEntry(SENDER)
                    .setIncarnation(incarnation)
                    .build();
            return decode(new ReportParts(header, MAXIMUM_BYTES, instances, teams)
                            .addLoads(Map.of(id, load))
                            .build())
                    .get(0);
        }

        private static List<EntryReport> decode(List<byte[]> datagrams) throws InvalidProtocolBufferException {
            List<EntryReport> reports = new ArrayList<>();
            for (byte[] datagram : datagrams) {
                assertThat(datagram.length).isLessThanOrEqualTo(MAXIMUM_BYTES);
                reports.add(EntryReport.parseFrom(datagram));
            }
            return reports;
        }

        private void receive(EntryReport report) {
            received.record(report);
            received.applyTotals(SENDER, false, team -> Optional.ofNullable(buckets.get(team)));
        }

        private void receiveAll() throws InvalidProtocolBufferException {
            report().forEach(this::receive);
        }

        private void changeAtRandom(Random random, int changes) {
            for (int change = 0; change < changes; change++) {
                String id = "engine-" + random.nextInt(instanceCount);
                if (random.nextInt(3) == 0) {
                    loads.remove(id);
                } else {
                    loads.put(id, new EntryLoad(1 + random.nextInt(20), random.nextInt(2) * random.nextInt(900)));
                }
                String team = "team-" + random.nextInt(totals.size());
                totals.merge(team, (long) random.nextInt(500) - 50, Long::sum);
            }
        }

        private void assertAgreement() {
            Map<String, Integer> running = new HashMap<>();
            Map<String, Long> unread = new HashMap<>();
            loads.forEach((id, load) -> {
                running.put(id, load.running());
                if (load.unreadTokens() > 0) {
                    unread.put(id, load.unreadTokens());
                }
            });
            assertThat(received.loads(SENDER).running()).isEqualTo(running);
            assertThat(received.loads(SENDER).unreadTokens()).isEqualTo(unread);
            totals.forEach(
                    (team, total) -> assertThat(buckets.get(team).level()).isEqualTo(0.0 - total));
        }
    }

    /** When every datagram arrives. */
    @Nested
    class WithoutLoss {

        /** Guards against changes that a report omits because the value is again that of the last full report. */
        @Test
        void everyReportLeadsToAgreement() throws Exception {
            Link link = Link.withRealHash(34, 16);
            Random random = new Random(1);
            for (int tick = 0; tick < 300; tick++) {
                link.changeAtRandom(random, random.nextInt(6));
                link.receiveAll();
                link.assertAgreement();
            }
        }

        /** Guards against a load that was reported at once and is back at its old value before the next report. */
        @Test
        void loadThatChangesBackBetweenReportsIsReportedAgain() throws Exception {
            Link link = Link.withRealHash(34, 16);
            link.loads.put("engine-1", new EntryLoad(3, 0));
            link.receiveAll();
            link.loads.put("engine-1", new EntryLoad(4, 700));
            assertThat(link.received.recordLoadChanges(link.loadChange("engine-1")))
                    .isEqualTo(Map.of("engine-1", new EntryLoad(4, 700)));
            link.loads.put("engine-1", new EntryLoad(3, 0));
            link.receiveAll();
            link.assertAgreement();
        }

        /** Guards against parts of a large report that undo each other. */
        @Test
        void reportInSeveralPartsIsAppliedInAnyOrder() throws Exception {
            Link link = Link.withRealHash(4_600, 16);
            Random random = new Random(2);
            for (int round = 0; round < 5; round++) {
                link.changeAtRandom(random, 500);
                link.own.requireFullReports();
                List<EntryReport> parts = new ArrayList<>(link.report());
                assertThat(parts).hasSizeGreaterThan(5);
                Collections.shuffle(parts, random);
                parts.forEach(link::receive);
                link.assertAgreement();
            }
        }
    }

    /** When a share of the datagrams is lost. */
    @Nested
    class WithLoss {

        /** Guards against loads and grants that stay wrong after a lost datagram. */
        @Test
        void nextFullReportLeadsToAgreement() throws Exception {
            Link link = Link.withRealHash(34, 16);
            Random random = new Random(3);
            int fullReports = 0;
            for (int tick = 0; tick < 3_000; tick++) {
                link.changeAtRandom(random, random.nextInt(6));
                List<EntryReport> reports = link.report();
                boolean complete = reports.get(0).getKind() == ReportKind.REPORT_KIND_FULL;
                for (EntryReport report : reports) {
                    if (random.nextDouble() < LOSS) {
                        complete = false;
                    } else {
                        link.receive(report);
                    }
                }
                if (complete) {
                    fullReports++;
                    link.assertAgreement();
                }
            }
            assertThat(fullReports).isGreaterThan(50);
        }

        /** Guards against grants that are subtracted again because another report of the same run arrives. */
        @Test
        void grantsOfRestartedEntryAreSubtractedOnce() throws Exception {
            Link link = Link.withRealHash(1, 1);
            link.totals.put("team-0", 100L);
            link.receiveAll();
            link.receiveAll();
            assertThat(link.buckets.get("team-0").level()).isEqualTo(-100);
            link.incarnation++;
            link.totals.put("team-0", 40L);
            link.own.requireFullReports();
            link.receiveAll();
            link.receiveAll();
            assertThat(link.buckets.get("team-0").level()).isEqualTo(-140);
        }
    }

    /** When names have the same hash. */
    @Nested
    class WithCollisions {

        /** Guards against loads and grants that are lost or given to another name with the same hash. */
        @Test
        void ambiguousNamesAreReportedInText() throws Exception {
            Link link = new Link(34, 16, name -> name.hashCode() % 5);
            Random random = new Random(4);
            for (int tick = 0; tick < 100; tick++) {
                link.changeAtRandom(random, 3);
                link.receiveAll();
                link.assertAgreement();
            }
        }

        /** Guards against loads by hash that remain when their name becomes ambiguous. */
        @Test
        void nameThatBecomesAmbiguousKeepsItsLoad() throws Exception {
            Link link = new Link(2, 1, name -> name.equals("engine-new") ? "engine-1".hashCode() : name.hashCode());
            link.loads.put("engine-1", new EntryLoad(3, 0));
            link.receiveAll();
            assertThat(link.instances.update(Set.of("engine-0", "engine-1", "engine-new")))
                    .isTrue();
            // Until the sender knows the new name, its load counts for both.
            assertThat(link.received.loads(SENDER).running()).isEqualTo(Map.of("engine-1", 3, "engine-new", 3));
            link.own.requireFullReports();
            link.receiveAll();
            link.assertAgreement();
        }
    }

    /** When the sender is of the previous version. */
    @Nested
    class FromPreviousVersion {

        /** Guards against reports in text that a new entry ignores. */
        @Test
        void loadsAndGrantsInTextAreApplied() {
            Link link = Link.withRealHash(3, 1);
            link.receive(EntryReport.newBuilder()
                    .setEntry(SENDER)
                    .setIncarnation(1)
                    .putRunning("engine-0", 2)
                    .putRunning("engine-1", 1)
                    .putUnreadPromptTokens("engine-1", 500)
                    .putGrantedTokens("team-0", 70)
                    .build());
            link.loads.put("engine-0", new EntryLoad(2, 0));
            link.loads.put("engine-1", new EntryLoad(1, 500));
            link.totals.put("team-0", 70L);
            link.assertAgreement();
            link.receive(EntryReport.newBuilder()
                    .setEntry(SENDER)
                    .setIncarnation(1)
                    .putRunning("engine-0", 2)
                    .putGrantedTokens("team-0", 80)
                    .build());
            link.loads.remove("engine-1");
            link.totals.put("team-0", 80L);
            link.assertAgreement();
        }

        /** Guards against rates that are exceeded because an entry of the previous version does not read hashes. */
        @Test
        void loadsAndTotalsAreSentInText() {
            Link link = Link.withRealHash(3, 1);
            assertThat(link.received.isPreviousVersion(SENDER)).isFalse();
            link.receive(EntryReport.newBuilder().setEntry(SENDER).build());
            assertThat(link.received.isPreviousVersion(SENDER)).isTrue();
            link.own.update(Map.of("engine-0", new EntryLoad(2, 500)), Map.of("team-0", 70L));
            EntryReport report = link.own.withText(EntryReport.getDefaultInstance());
            assertThat(report.getRunningMap()).isEqualTo(Map.of("engine-0", 2));
            assertThat(report.getUnreadPromptTokensMap()).isEqualTo(Map.of("engine-0", 500L));
            assertThat(report.getGrantedTokensMap()).isEqualTo(Map.of("team-0", 70L));
        }
    }
}
