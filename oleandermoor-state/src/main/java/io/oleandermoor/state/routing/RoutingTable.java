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
 * Holds the ready copies of each model, adapter and plain service. Thread-safe: modifications acquire a single lock
 * (position 6 in the lock order); lookups are lock-free and read arrays that are replaced when a copy is added or
 * removed.
 */
public final class RoutingTable {

    /** Number of removed upstreams whose last record version is kept, so that a late record does not add them again. */
    private static final int MAXIMUM_REMOVED_VERSIONS = 8192;

    private final Object lock = new Object();
    private final ConcurrentHashMap<RouteTarget, CopyGroup> groups = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<UpstreamId, UpstreamState> upstreams = new ConcurrentHashMap<>();
    private final Map<UpstreamId, RecordVersion> versions = new HashMap<>();
    private final LinkedHashMap<UpstreamId, RecordVersion> removedVersions = new LinkedHashMap<>();

    private record RecordVersion(long incarnation, long sequence) {}

    /**
     * Applies a record of an agent. A record that is not newer than the last one for the same upstream is ignored.
     *
     * @param record the record
     * @param nowMillis the current time in milliseconds
     * @return true if the record was applied
     */
    public boolean update(UpstreamRecord record, long nowMillis) {
        synchronized (lock) {
            RecordVersion lastVersion =
                    versions.getOrDefault(record.upstream(), removedVersions.get(record.upstream()));
            if (lastVersion != null && !record.isNewerThan(lastVersion.incarnation, lastVersion.sequence)) {
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
            Map<RouteTarget, ReadyCopy> newCopies = new HashMap<>();
            if (record.status().acceptsRequests()) {
                for (RouteTarget target : record.readyTargets()) {
                    ReadyCopy existing = state.copies().get(target);
                    newCopies.put(target, existing == null ? new ReadyCopy(state, nowMillis) : existing);
                }
            }
            replaceCopies(state, newCopies, nowMillis);
            return true;
        }
    }

    /**
     * Removes an upstream whose record expired. A record that arrives afterwards is applied only if it is newer than
     * the last one.
     *
     * @param upstream the upstream
     * @param nowMillis the current time in milliseconds
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
     * Applies a load report. A report of an upstream or incarnation that is not in the table is ignored.
     *
     * @param upstream the upstream
     * @param incarnation the incarnation of the agent that sent the report
     * @param load the reported load
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
     * @return the report, empty if there is none
     */
    public Optional<UpstreamLoad> load(UpstreamId upstream) {
        UpstreamState state = upstreams.get(upstream);
        return state == null ? Optional.empty() : Optional.ofNullable(state.load());
    }

    /**
     * Returns the number of ready copies of a target.
     *
     * @param target the model, adapter or service
     * @return the number of upstreams that have the target ready and accept new requests
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

    /** Modifies the state of an upstream under the lock. The action must not call code outside this package. */
    void runLocked(Runnable action) {
        synchronized (lock) {
            action.run();
        }
    }

    /** Returns whether at least half of the copies of each of the upstream's targets remain if it is ejected. */
    boolean isEjectionAllowed(UpstreamState state, long nowMillis) {
        for (RouteTarget target : state.copies().keySet()) {
            CopyGroup group = groups.get(target);
            if (group != null && 2 * (group.ejectedCount(nowMillis) + 1) > group.all.length) {
                return false;
            }
        }
        return true;
    }

    private void replaceCopies(UpstreamState state, Map<RouteTarget, ReadyCopy> newCopies, long nowMillis) {
        Map<RouteTarget, ReadyCopy> oldCopies = state.copies();
        state.replaceCopies(newCopies);
        oldCopies.forEach((target, copy) -> {
            if (!newCopies.containsKey(target)) {
                // Removes the group with its last copy, so that a lookup never finds an empty group.
                CopyGroup group =
                        groups.computeIfPresent(target, (key, old) -> old.all.length == 1 ? null : old.without(copy));
                if (group != null) {
                    limitEjectionsToHalf(group, nowMillis);
                }
            }
        });
        newCopies.forEach((target, copy) -> {
            if (!oldCopies.containsKey(target)) {
                groups.compute(
                        target,
                        (key, old) -> old == null ? new CopyGroup(List.of(copy), new AtomicInteger()) : old.with(copy));
            }
        });
        for (RouteTarget target : newCopies.keySet()) {
            CopyGroup group = groups.get(target);
            if (group != null && nowMillis < state.ejectedUntilMillis) {
                limitEjectionsToHalf(group, nowMillis);
            }
        }
    }

    /** Ends the ejections that expire first until at most half of the group is ejected. */
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
