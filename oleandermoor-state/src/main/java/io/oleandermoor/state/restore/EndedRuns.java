package io.oleandermoor.state.restore;

import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the runs of instances that drain or were removed, because a copy of the store may describe them as ready. A
 * run that was draining before a restore stays so. A run that was removed stays removed until its registration in the
 * copy must have ended.
 */
public final class EndedRuns {

    /** Time for which a removed run is remembered. A copy is some seconds old when the store is restored from it. */
    private static final long MEMORY_MILLIS = 120_000;
    /**
     * Time after a restore for which removed runs stay removed. A registration that is still in the store then is
     * renewed by a live process: its lease has ended otherwise.
     */
    private static final long EXCLUSION_MILLIS = 10_000;

    private final Map<String, Long> drainingRuns = new HashMap<>();
    private final Map<String, RemovedRun> removedRuns = new HashMap<>();
    private final Map<String, Long> drainingBeforeRestore = new HashMap<>();
    private final Map<String, Long> removedBeforeRestore = new HashMap<>();
    private boolean restored;
    private long restoredMillis;

    private record RemovedRun(long startedMillis, long removedMillis) {}

    /** Records a description that is now in force. */
    public void recordDescribed(UpstreamInstance instance) {
        removedRuns.remove(instance.id());
        if (instance.draining()) {
            drainingRuns.put(instance.id(), instance.startedMillis());
        } else {
            drainingRuns.remove(instance.id());
        }
    }

    /** Records that the registration of an instance was removed. */
    public void recordRemoved(UpstreamInstance instance, long nowMillis) {
        drainingRuns.remove(instance.id());
        removedRuns.values().removeIf(run -> nowMillis - run.removedMillis() > MEMORY_MILLIS);
        removedRuns.put(instance.id(), new RemovedRun(instance.startedMillis(), nowMillis));
    }

    /** Records that the store was restored from a copy. */
    public void recordRestore(long nowMillis) {
        restored = true;
        restoredMillis = nowMillis;
        drainingBeforeRestore.clear();
        drainingBeforeRestore.putAll(drainingRuns);
        removedRuns.values().removeIf(run -> nowMillis - run.removedMillis() > MEMORY_MILLIS);
        removedBeforeRestore.clear();
        removedRuns.forEach((id, run) -> removedBeforeRestore.put(id, run.startedMillis()));
    }

    /** Returns what holds of an instance that the store describes; empty if this run of it has ended. */
    public Optional<UpstreamInstance> reconcile(UpstreamInstance described, long nowMillis) {
        if (!restored) {
            return Optional.of(described);
        }
        if (nowMillis - restoredMillis < EXCLUSION_MILLIS && isRun(removedBeforeRestore, described)) {
            return Optional.empty();
        }
        if (isRun(drainingBeforeRestore, described)) {
            return Optional.of(described.draining() ? described : described.asDraining());
        }
        drainingBeforeRestore.remove(described.id());
        return Optional.of(described);
    }

    private static boolean isRun(Map<String, Long> runs, UpstreamInstance instance) {
        Long startedMillis = runs.get(instance.id());
        return startedMillis != null && startedMillis == instance.startedMillis();
    }
}
