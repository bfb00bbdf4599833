package io.oleandermoor.gateway.peer;

import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.protocol.message.InstanceLoad;
import io.oleandermoor.protocol.message.ReportKind;
import io.oleandermoor.state.share.SharedTokenBucket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * What the other entries have reported of their loads and rate grants, by hash as long as the name is unknown. Reports
 * of changes complete what earlier reports have said. Used on the event loop only.
 */
final class PeerReports {

    private final NameHashes instanceNames;
    private final NameHashes teamNames;
    private final Map<String, Peer> peers = new HashMap<>();

    /** What one run of another entry has reported. */
    private static final class Peer {

        private final long incarnation;
        private final Map<Integer, EntryLoad> loads = new HashMap<>();
        private final Map<String, EntryLoad> namedLoads = new HashMap<>();
        private final Map<Integer, Long> totals = new HashMap<>();
        private final Map<String, Long> namedTotals = new HashMap<>();
        /** The teams whose bucket has received a total of this run. */
        private final Set<String> receivedTeams = new HashSet<>();

        private boolean previousVersion;

        private Peer(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * The loads of one entry by instance.
     *
     * @param running the numbers of requests in flight
     * @param unreadTokens the prompt tokens that are not read yet
     */
    record Loads(Map<String, Integer> running, Map<String, Long> unreadTokens) {}

    /** Creates reports without any entry. */
    PeerReports(NameHashes instanceNames, NameHashes teamNames) {
        this.instanceNames = instanceNames;
        this.teamNames = teamNames;
    }

    /**
     * Records a report.
     *
     * @return whether this is the first report of the entry or of its current run
     */
    boolean record(EntryReport report) {
        Peer peer = peers.get(report.getEntry());
        boolean restarted = peer == null || peer.incarnation != report.getIncarnation();
        if (peer == null || restarted) {
            peer = new Peer(report.getIncarnation());
            peers.put(report.getEntry(), peer);
        }
        peer.previousVersion = report.getKind() == ReportKind.REPORT_KIND_UNSPECIFIED;
        recordNamed(peer, report);
        recordHashed(peer, report);
        return restarted;
    }

    /** Returns whether the last report of an entry was one of the previous version, which names everything in text. */
    boolean isPreviousVersion(String entry) {
        Peer peer = peers.get(entry);
        return peer != null && peer.previousVersion;
    }

    private void recordNamed(Peer peer, EntryReport report) {
        boolean previousVersion = report.getKind() == ReportKind.REPORT_KIND_UNSPECIFIED;
        boolean full = previousVersion || report.getKind() == ReportKind.REPORT_KIND_FULL;
        if (full && !report.getContinuation()) {
            peer.namedLoads.clear();
        }
        if (previousVersion) {
            peer.loads.clear();
        }
        Set<String> ids = new HashSet<>(report.getRunningMap().keySet());
        ids.addAll(report.getUnreadPromptTokensMap().keySet());
        for (String id : ids) {
            put(
                    peer.namedLoads,
                    id,
                    new EntryLoad(report.getRunningOrDefault(id, 0), report.getUnreadPromptTokensOrDefault(id, 0)));
        }
        report.getGrantedTokensMap().forEach((team, total) -> {
            peer.totals.remove(teamNames.hash(team));
            peer.namedTotals.put(team, total);
        });
    }

    private void recordHashed(Peer peer, EntryReport report) {
        if (report.getKind() == ReportKind.REPORT_KIND_FULL && report.hasCoveredThrough()) {
            int from = report.getCoveredFrom();
            int through = report.getCoveredThrough();
            peer.loads
                    .keySet()
                    .removeIf(hash ->
                            Integer.compareUnsigned(from, hash) <= 0 && Integer.compareUnsigned(hash, through) <= 0);
        }
        int loadCount = Math.min(report.getLoadNamesCount(), report.getLoadRunningCount());
        for (int index = 0; index < loadCount; index++) {
            put(peer.loads, report.getLoadNames(index), load(report, index));
        }
        int totalCount = Math.min(report.getGrantNamesCount(), report.getGrantTotalsCount());
        for (int index = 0; index < totalCount; index++) {
            int hash = report.getGrantNames(index);
            peer.namedTotals.keySet().removeIf(team -> teamNames.hash(team) == hash);
            peer.totals.put(hash, report.getGrantTotals(index));
        }
    }

    private static EntryLoad load(EntryReport report, int index) {
        long unread = index < report.getLoadUnreadCount() ? report.getLoadUnread(index) : 0;
        return new EntryLoad(report.getLoadRunning(index), unread);
    }

    private static <K> void put(Map<K, EntryLoad> loads, K key, EntryLoad load) {
        if (load.equals(EntryLoad.NONE)) {
            loads.remove(key);
        } else {
            loads.put(key, load);
        }
    }

    /**
     * Records a report that holds nothing but loads that have just changed.
     *
     * @return the changed loads by instance
     */
    Map<String, EntryLoad> recordLoadChanges(EntryReport report) {
        Map<String, EntryLoad> named = new HashMap<>();
        report.getRunningMap()
                .forEach((id, running) ->
                        named.put(id, new EntryLoad(running, report.getUnreadPromptTokensOrDefault(id, 0))));
        if (report.getKind() == ReportKind.REPORT_KIND_UNSPECIFIED) {
            for (InstanceLoad change : report.getLoadChangesList()) {
                named.put(change.getInstance(), new EntryLoad(change.getRunning(), change.getUnreadPromptTokens()));
            }
        }
        Peer known = peers.get(report.getEntry());
        if (known != null && known.incarnation == report.getIncarnation()) {
            recordHashed(known, report);
            named.forEach((id, load) -> put(known.namedLoads, id, load));
        }
        Map<String, EntryLoad> changes = new HashMap<>();
        for (int index = 0; index < Math.min(report.getLoadNamesCount(), report.getLoadRunningCount()); index++) {
            for (String id : instanceNames.names(report.getLoadNames(index))) {
                changes.put(id, load(report, index));
            }
        }
        changes.putAll(named);
        return changes;
    }

    /**
     * Returns all known loads of an entry. The load of an ambiguous hash counts for each of its instances until the
     * sender knows all of them and reports them in text.
     */
    Loads loads(String entry) {
        Map<String, EntryLoad> byName = new HashMap<>();
        Peer peer = peers.get(entry);
        if (peer != null) {
            peer.loads.forEach((hash, load) -> instanceNames.names(hash).forEach(id -> byName.put(id, load)));
            byName.putAll(peer.namedLoads);
        }
        Loads loads = new Loads(new HashMap<>(), new HashMap<>());
        byName.forEach((id, load) -> {
            if (load.running() > 0) {
                loads.running().put(id, load.running());
            }
            if (load.unreadTokens() > 0) {
                loads.unreadTokens().put(id, load.unreadTokens());
            }
        });
        return loads;
    }

    /**
     * Subtracts the tokens that an entry has granted from the buckets of its teams. Totals that have not changed are
     * given to the buckets, too, because they release the tokens that a bucket reserved for the entry while it was
     * silent. The total of an ambiguous hash waits until the sender reports it in text.
     *
     * @param entry the name of the entry
     * @param startedEarlier whether the entry started before this one
     * @param buckets returns the bucket of a team
     */
    void applyTotals(String entry, boolean startedEarlier, Function<String, Optional<SharedTokenBucket>> buckets) {
        Peer peer = peers.get(entry);
        if (peer == null) {
            return;
        }
        // The bucket of a team that gets its limit back starts anew, and so do the totals of all entries.
        peer.namedTotals.keySet().removeIf(team -> buckets.apply(team).isEmpty());
        peer.totals.keySet().removeIf(hash -> teamNames.names(hash).isEmpty());
        peer.receivedTeams.removeIf(team -> buckets.apply(team).isEmpty());
        Map<String, Long> totals = new HashMap<>(peer.namedTotals);
        peer.totals.forEach((hash, total) -> {
            List<String> teams = teamNames.names(hash);
            if (teams.size() == 1) {
                totals.put(teams.get(0), total);
            }
        });
        totals.forEach((team, total) -> buckets.apply(team).ifPresent(bucket -> {
            boolean first = peer.receivedTeams.add(team);
            bucket.recordPeerGrants(entry, total, first, startedEarlier);
        }));
    }

    /** Forgets the loads of other entries than the given ones; their totals are kept, as they may report again. */
    void retainLoads(Set<String> entries) {
        peers.forEach((entry, peer) -> {
            if (!entries.contains(entry)) {
                peer.loads.clear();
                peer.namedLoads.clear();
            }
        });
    }
}
