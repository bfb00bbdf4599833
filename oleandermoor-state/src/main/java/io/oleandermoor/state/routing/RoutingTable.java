package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Holds the ready copies of each model, adapter and plain service. Safe for use by several threads: changes take one
 * lock (place 6 in the lock order), lookups take none and read arrays that are replaced when a copy comes or goes.
 */
public final class RoutingTable {

    /** Number of removed upstreams whose last record is remembered, so that a late record does not bring them back. */
    private static final int MAXIMUM_REMOVED_VERSIONS = 8192;

    private final Object lock = new Object();
    private final ConcurrentHashMap<RouteTarget, CopyGroup> groups = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<UpstreamId, UpstreamState> upstreams = new ConcurrentHashMap<>();
    private final Map<UpstreamId, RecordVersion> versions = new HashMap<>();
    private final LinkedHashMap<UpstreamId, RecordVersion> removedVersions = new LinkedHashMap<>();

    private record RecordVersion(long incarnation, long sequence) {}

    /**
     * Applies a record of an agent. A record that is not newer than the last one of the same upstream is ignored.
     *
     * @param record the record
     * @param nowMillis the time in milliseconds
     * @return true if the record was applied
     */
    public boolean update(UpstreamRecord record, long nowMillis) {
        synchronized (lock) {
            RecordVersion known = versions.getOrDefault(record.upstream(), removedVersions.get(record.upstream()));
            if (known != null && !record.isNewerThan(known.incarnation, known.sequence)) {
                return false;
            }
            removedVersions.remove(record.upstream());
            versions.put(record.upstream(), new RecordVersion(record.incarnation(), record.sequence()));
            UpstreamState state = upstreams.get(record.upstream());
            if (state == null
                    || state.incarnation != record.incarnation()
                    || !state.failureDomain.equals(record.failureDomain())) {
                if (state != null) {
                    replaceCopies(state, Map.of(), nowMillis);
                }
                state = new UpstreamState(record);
                upstreams.put(record.upstream(), state);
            }
            Map<RouteTarget, ReadyCopy> copies = new HashMap<>();
            if (record.status().takesWork()) {
                for (RouteTarget target : record.readyTargets()) {
                    ReadyCopy kept = state.copies().get(target);
                    copies.put(target, kept == null ? new ReadyCopy(state, nowMillis) : kept);
                }
            }
            replaceCopies(state, copies, nowMillis);
            return true;
        }
    }

    /**
     * Removes an upstream whose record expired. Later records of the same incarnation count only if they are newer.
     *
     * @param upstream the upstream
     * @param nowMillis the time in milliseconds
     */
    public void remove(UpstreamId upstream, long nowMillis) {
        synchronized (lock) {
            UpstreamState state = upstreams.remove(upstream);
            RecordVersion version = versions.remove(upstream);
            if (state == null || version == null) {
                return;
            }
            replaceCopies(state, Map.of(), nowMillis);
            removedVersions.put(upstream, version);
            if (removedVersions.size() > MAXIMUM_REMOVED_VERSIONS) {
                removedVersions.remove(removedVersions.keySet().iterator().next());
            }
        }
    }

    /**
     * Takes a load report.
     *
     * @param upstream the upstream; a report of one that is not in the table is ignored
     * @param incarnation the incarnation of the agent that reported
     * @param load the load
     */
    public void updateLoad(UpstreamId upstream, long incarnation, UpstreamLoad load) {
        synchronized (lock) {
            UpstreamState state = upstreams.get(upstream);
            if (state != null && state.incarnation == incarnation) {
                state.updateLoad(load);
            }
        }
    }

    /**
     * Returns the last load report of an upstream.
     *
     * @param upstream the upstream
     * @return the report, empty if there was none
     */
    public Optional<UpstreamLoad> load(UpstreamId upstream) {
        UpstreamState state = upstreams.get(upstream);
        return state == null ? Optional.empty() : Optional.ofNullable(state.load());
    }

    /**
     * Returns the number of ready copies of a target.
     *
     * @param target the model, adapter or service
     * @return the number of upstreams that have it ready and take new work
     */
    public int readyCopies(RouteTarget target) {
        CopyGroup group = groups.get(target);
        return group == null ? 0 : group.all.length;
    }

    @Nullable
    CopyGroup group(RouteTarget target) {
        return groups.get(target);
    }

    @Nullable
    UpstreamState upstream(UpstreamId upstream) {
        return upstreams.get(upstream);
    }

    /** Runs a change of the state of one upstream under the lock. The change must not call out of this package. */
    void runLocked(Runnable change) {
        synchronized (lock) {
            change.run();
        }
    }

    /** Returns whether one more ejection leaves at least half of the copies of each target that the upstream has. */
    boolean isEjectionAllowed(UpstreamState state, long nowMillis) {
        for (RouteTarget target : state.copies().keySet()) {
            CopyGroup group = groups.get(target);
            if (group != null && 2 * (group.ejectedCount(nowMillis) + 1) > group.all.length) {
                return false;
            }
        }
        return true;
    }

    private void replaceCopies(UpstreamState state, Map<RouteTarget, ReadyCopy> copies, long nowMillis) {
        Map<RouteTarget, ReadyCopy> before = state.copies();
        state.replaceCopies(copies);
        before.forEach((target, copy) -> {
            if (!copies.containsKey(target)) {
                // An empty group is never visible to a lookup.
                CopyGroup group =
                        groups.computeIfPresent(target, (key, old) -> old.all.length == 1 ? null : old.without(copy));
                if (group != null) {
                    limitEjectionsToHalf(group, nowMillis);
                }
            }
        });
        copies.forEach((target, copy) -> {
            if (!before.containsKey(target)) {
                groups.compute(
                        target,
                        (key, old) -> old == null ? new CopyGroup(List.of(copy), new AtomicInteger()) : old.with(copy));
            }
        });
        for (RouteTarget target : copies.keySet()) {
            CopyGroup group = groups.get(target);
            if (group != null && nowMillis < state.ejectedUntilMillis) {
                limitEjectionsToHalf(group, nowMillis);
            }
        }
    }

    /** Ends the ejections that end soonest until at most half of a group is ejected. */
    private static void limitEjectionsToHalf(CopyGroup group, long nowMillis) {
        List<UpstreamHealth> ejected = new ArrayList<>();
        for (ReadyCopy copy : group.all) {
            if (nowMillis < copy.upstream.ejectedUntilMillis) {
                ejected.add(copy.upstream);
            }
        }
        ejected.sort((left, right) -> Long.compare(left.ejectedUntilMillis, right.ejectedUntilMillis));
        for (int index = 0; 2 * (ejected.size() - index) > group.all.length; index++) {
            ejected.get(index).endEjection();
        }
    }
}
