package io.oleandermoor.state.restore;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a version of the configuration counts as confirmed. The store does not confirm it alone after a
 * restore: the copy may hold an older version than other entries have in force. Entries therefore report theirs.
 */
public final class VersionConfirmation {

    /** Time for which an entry that starts after a restore waits for the reports of entries that may be dead. */
    private static final long REPORT_WAIT_MILLIS = 2_500;

    private final Set<String> reporters = new HashSet<>();
    private long newestReported;
    private boolean waiting;
    private long waitingSinceMillis;

    /** Begins to wait for the versions of the other entries, because this entry starts after a restore. */
    public void awaitReports(long nowMillis) {
        waiting = true;
        waitingSinceMillis = nowMillis;
    }

    /** Records that this entry has registered, because the other entries report to it only from then on. */
    public void recordRegistration(long nowMillis) {
        waitingSinceMillis = nowMillis;
    }

    /**
     * Records the version that another entry has in force.
     *
     * @return whether it is higher than all that were reported before
     */
    public boolean recordReported(String peer, long version) {
        if (waiting) {
            reporters.add(peer);
        }
        boolean newer = version > newestReported;
        newestReported = Math.max(newestReported, version);
        return newer;
    }

    /** Returns whether no other entry is known to have a newer version in force. */
    public boolean isNewestKnown(long version) {
        return version >= newestReported;
    }

    /** Returns whether the store may have confirmed an older version before the other entries reported theirs. */
    public boolean isWaiting() {
        return waiting;
    }

    /**
     * Returns whether another entry may have a newer version in force and has not reported yet.
     *
     * @param peersKnown whether the other entries are known
     * @param peers the other entries
     */
    public boolean awaitsReports(boolean peersKnown, Set<String> peers, long nowMillis) {
        if (waiting
                && ((peersKnown && !peers.isEmpty() && reporters.containsAll(peers))
                        || nowMillis - waitingSinceMillis >= REPORT_WAIT_MILLIS)) {
            waiting = false;
            reporters.clear();
        }
        return waiting;
    }
}
