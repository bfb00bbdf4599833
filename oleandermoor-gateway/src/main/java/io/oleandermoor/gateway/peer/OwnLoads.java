package io.oleandermoor.gateway.peer;

import io.oleandermoor.protocol.message.EntryReport;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.share.SharedTokenBucket;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The loads and rate grants of this entry, with the version at which each of them last changed. A report of changes
 * holds everything that changed after the last full report to its receiver, also if it has changed back: the receiver
 * may have applied the value in between. Used on the event loop only.
 */
final class OwnLoads {

    /** The version that selects everything. */
    static final long NO_VERSION = 0;

    private final long fullIntervalTicks;
    private final Map<String, Versioned<EntryLoad>> loads = new HashMap<>();
    private final Map<String, Versioned<Long>> totals = new HashMap<>();
    private final Map<String, FullReport> fullReports = new HashMap<>();
    private long version = 1;

    private record Versioned<T>(T value, long version) {}

    private record FullReport(long version, long tick) {}

    /**
     * Creates the loads of an entry that has not reported yet.
     *
     * @param fullIntervalTicks the maximum number of ticks between full reports to the same entry
     */
    OwnLoads(long fullIntervalTicks) {
        this.fullIntervalTicks = fullIntervalTicks;
    }

    /** Replaces the loads by those on the given instances, and the totals by those of the given buckets. */
    void update(Collection<InstanceState> states, Map<String, SharedTokenBucket> buckets) {
        Map<String, EntryLoad> currentLoads = new HashMap<>();
        for (InstanceState state : states) {
            EntryLoad load = EntryLoad.of(state);
            if (!load.equals(EntryLoad.NONE)) {
                currentLoads.put(state.instance().id(), load);
            }
        }
        Map<String, Long> currentTotals = new HashMap<>();
        buckets.forEach((team, bucket) -> currentTotals.put(team, bucket.grantedTokens()));
        update(currentLoads, currentTotals);
    }

    /**
     * Replaces the loads and the totals.
     *
     * @param currentLoads the loads by instance; the others are zero
     * @param currentTotals the tokens granted since the start by team
     */
    void update(Map<String, EntryLoad> currentLoads, Map<String, Long> currentTotals) {
        version++;
        for (String id : loads.keySet()) {
            if (!currentLoads.containsKey(id)) {
                put(loads, id, EntryLoad.NONE);
            }
        }
        currentLoads.forEach((id, load) -> put(loads, id, load));
        currentTotals.forEach((team, total) -> put(totals, team, total));
        totals.keySet().retainAll(currentTotals.keySet());
    }

    /** Replaces the load on one instance because it is reported at once, so that later reports of changes hold it. */
    void updateLoad(String id, EntryLoad load) {
        version++;
        put(loads, id, load);
    }

    private <T> void put(Map<String, Versioned<T>> values, String name, T value) {
        Versioned<T> previous = values.get(name);
        if (previous == null || !previous.value().equals(value)) {
            values.put(name, new Versioned<>(value, version));
        }
    }

    /** Forgets what was reported to other entries than the given ones, and zeros that all of these have been told. */
    void retainPeers(Collection<String> peers) {
        fullReports.keySet().retainAll(peers);
        // An entry that has had no full report gets one, so that it needs no zeros.
        long oldest = fullReports.values().stream()
                .mapToLong(FullReport::version)
                .min()
                .orElse(version);
        loads.values().removeIf(load -> load.version() <= oldest && load.value().equals(EntryLoad.NONE));
    }

    /** Makes the next report to an entry a full one. */
    void requireFullReport(String peer) {
        fullReports.remove(peer);
    }

    /** Makes the next report to each entry a full one. */
    void requireFullReports() {
        fullReports.clear();
    }

    /**
     * Returns the version from which changes are to be reported to an entry; {@link #NO_VERSION} if a full report is
     * due, which the caller then sends.
     *
     * @param peer the receiver
     * @param tick the number of the current tick
     * @param ticksUntilNext the number of ticks until the next report to the receiver
     */
    long beginReport(String peer, long tick, long ticksUntilNext) {
        FullReport last = fullReports.get(peer);
        if (last != null && tick - last.tick() + ticksUntilNext <= fullIntervalTicks) {
            return last.version();
        }
        fullReports.put(peer, new FullReport(version, tick));
        return NO_VERSION;
    }

    /** Returns the loads to report: those that changed after a version, or all that are not zero. */
    Map<String, EntryLoad> loadsSince(long since) {
        Map<String, EntryLoad> changed = new HashMap<>();
        loads.forEach((id, load) -> {
            if (since == NO_VERSION ? !load.value().equals(EntryLoad.NONE) : load.version() > since) {
                changed.put(id, load.value());
            }
        });
        return changed;
    }

    /** Returns the totals to report: those that changed after a version, or all. */
    Map<String, Long> totalsSince(long since) {
        Map<String, Long> changed = new HashMap<>();
        totals.forEach((team, total) -> {
            if (total.version() > since) {
                changed.put(team, total.value());
            }
        });
        return changed;
    }

    /**
     * Adds all loads and totals in text, as entries of the previous version read them. Without the totals, these
     * entries would exceed the rates of teams during an upgrade.
     */
    EntryReport withText(EntryReport header) {
        EntryReport.Builder report = header.toBuilder();
        loadsSince(NO_VERSION).forEach((id, load) -> {
            report.putRunning(id, load.running());
            if (load.unreadTokens() > 0) {
                report.putUnreadPromptTokens(id, load.unreadTokens());
            }
        });
        return report.putAllGrantedTokens(totalsSince(NO_VERSION)).build();
    }
}
