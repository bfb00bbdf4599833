package io.oleandermoor.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.InstanceLoad;
import io.oleandermoor.protocol.message.ReportKind;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Computes the sizes of encoded reports before and after names were replaced by hashes. */
class ReportSizesTest {

    private static final int TEAMS = 16;
    private static final long INCARNATION = 1_765_000_000_000L;

    /**
     * A deployment and what one of its entries reports.
     *
     * @param entries the number of entries
     * @param engines the number of engines
     * @param loaded the number of engines at which the entry has requests
     * @param changed the number of these that change between full reports
     */
    private record Deployment(int entries, int engines, int loaded, int changed) {}

    private record Sizes(int before, int full, int changes, int loadBefore, int load) {}

    /** Guards against reports that grow back towards their size with names in text. */
    @Test
    void reportsByHashAreSmallerThanReportsInText() {
        // 4,200 requests a second of five seconds each are 62 requests in flight at each of 340 entries.
        List<Deployment> deployments = List.of(new Deployment(27, 34, 34, 10), new Deployment(340, 4_600, 62, 62));
        for (Deployment deployment : deployments) {
            Sizes sizes = sizes(deployment);
            System.out.printf(Locale.ROOT, "sizes %s %s%n", deployment, sizes);
            assertThat(sizes.full()).isLessThan(sizes.before() / 2).isLessThan(PeerExchange.MAXIMUM_REPORT_BYTES);
            assertThat(sizes.changes()).isLessThanOrEqualTo(sizes.full());
            assertThat(sizes.load()).isLessThan(sizes.loadBefore() + 4);
        }
    }

    private static Sizes sizes(Deployment deployment) {
        NameHashes instances = new NameHashes();
        NameHashes teams = new NameHashes();
        Map<String, EntryLoad> loads = new HashMap<>();
        Map<String, Integer> ids = new HashMap<>();
        for (int index = 0; index < deployment.engines(); index++) {
            ids.put(engine(index), index);
        }
        instances.update(ids.keySet());
        for (int index = 0; index < deployment.loaded(); index++) {
            loads.put(engine(index), new EntryLoad(1 + index % 3, index % 8 == 0 ? 700 : 0));
        }
        Map<String, Long> totals = new HashMap<>();
        for (int index = 0; index < TEAMS; index++) {
            totals.put(String.format(Locale.ROOT, "team-%02d", index), 1_000_000L + index);
        }
        teams.update(totals.keySet());

        int full = size(new ReportParts(
                        header(ReportKind.REPORT_KIND_FULL)
                                .setFailureDomain("domain-1")
                                .build(),
                        PeerExchange.MAXIMUM_REPORT_BYTES,
                        instances,
                        teams)
                .addLoads(loads)
                .addTotals(totals));
        Map<String, EntryLoad> changedLoads = new HashMap<>();
        for (int index = 0; index < deployment.changed(); index++) {
            changedLoads.put(engine(index), loads.getOrDefault(engine(index), EntryLoad.NONE));
        }
        Map<String, Long> changedTotals = Map.of("team-00", 1_000_100L, "team-01", 1_000_200L, "team-02", 1_000_300L);
        int changes = size(new ReportParts(
                        header(ReportKind.REPORT_KIND_CHANGES).build(),
                        PeerExchange.MAXIMUM_REPORT_BYTES,
                        instances,
                        teams)
                .addLoads(changedLoads)
                .addTotals(changedTotals));
        return new Sizes(textReport(loads, totals), full, changes, textLoadChange(), loadChange(instances, teams));
    }

    private static int textReport(Map<String, EntryLoad> loads, Map<String, Long> totals) {
        EntryReport.Builder report = header(ReportKind.REPORT_KIND_UNSPECIFIED);
        loads.forEach((id, load) -> {
            report.putRunning(id, load.running());
            if (load.unreadTokens() > 0) {
                report.putUnreadPromptTokens(id, load.unreadTokens());
            }
        });
        return report.putAllGrantedTokens(totals).build().getSerializedSize();
    }

    private static int textLoadChange() {
        return EntryReport.newBuilder()
                .setEntry("entry-001")
                .setIncarnation(INCARNATION)
                .addLoadChanges(InstanceLoad.newBuilder()
                        .setInstance(engine(0))
                        .setRunning(1)
                        .setUnreadPromptTokens(700))
                .build()
                .getSerializedSize();
    }

    private static int loadChange(NameHashes instances, NameHashes teams) {
        return size(new ReportParts(
                        EntryReport.newBuilder()
                                .setEntry("entry-001")
                                .setIncarnation(INCARNATION)
                                .setKind(ReportKind.REPORT_KIND_LOADS)
                                .addLoadChanges(InstanceLoad.getDefaultInstance())
                                .build(),
                        PeerExchange.MAXIMUM_REPORT_BYTES,
                        instances,
                        teams)
                .addLoads(Map.of(engine(0), new EntryLoad(1, 700))));
    }

    private static EntryReport.Builder header(ReportKind kind) {
        return EntryReport.newBuilder()
                .setKind(kind)
                .setEntry("entry-001")
                .setIncarnation(INCARNATION)
                .setUptimeMillis(10_000_000);
    }

    private static int size(ReportParts parts) {
        return parts.build().stream().mapToInt(datagram -> datagram.length).sum();
    }

    private static String engine(int index) {
        return String.format(Locale.ROOT, "engine-%04d", index);
    }
}
