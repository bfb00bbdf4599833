package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What an entry knows about one incarnation of an upstream. A restart creates a new object, so everything remembered
 * for the earlier incarnation is forgotten. Written under the lock of the routing table and read without it.
 */
final class UpstreamState extends UpstreamHealth {

    /** Slots assumed before the first report. */
    private static final int DEFAULT_SLOTS = 8;

    final UpstreamId id;
    final FailureDomain failureDomain;
    final long incarnation;
    /** Sequence of the last cache event. Guarded by the lock of the prefix table. */
    long lastCacheSequence;
    /** Prefix blocks used before this time are not trusted. Guarded by the lock of the prefix table. */
    long cacheTrustedSinceMillis = Long.MIN_VALUE;

    private final SendHistory sendHistory = new SendHistory();
    private volatile Map<RouteTarget, ReadyCopy> copies = Map.of();
    private volatile @Nullable UpstreamLoad load;
    private volatile int sentSinceReport;
    private volatile int reportedOutstanding;
    private volatile int slots = DEFAULT_SLOTS;
    private volatile int expectedWaitMillis;

    UpstreamState(UpstreamRecord record) {
        this.id = record.upstream();
        this.failureDomain = record.failureDomain();
        this.incarnation = record.incarnation();
    }

    Map<RouteTarget, ReadyCopy> copies() {
        return copies;
    }

    void replaceCopies(Map<RouteTarget, ReadyCopy> newCopies) {
        copies = Map.copyOf(newCopies);
    }

    @Nullable
    UpstreamLoad load() {
        return load;
    }

    /** Returns the requests in the last report and those sent since. */
    int outstanding() {
        return reportedOutstanding + sentSinceReport;
    }

    int slots() {
        return slots;
    }

    int expectedWaitMillis() {
        return expectedWaitMillis;
    }

    void recordSend(long nowMillis) {
        sendHistory.add(nowMillis);
        sentSinceReport = sentSinceReport + 1;
    }

    /** Takes a report unless a later measurement is known already. */
    void updateLoad(UpstreamLoad newLoad) {
        UpstreamLoad known = load;
        if (known == null || newLoad.measuredAtMillis() >= known.measuredAtMillis()) {
            sentSinceReport = sendHistory.countSince(newLoad.measuredAtMillis());
            reportedOutstanding = newLoad.outstanding();
            slots = newLoad.slots();
            expectedWaitMillis = newLoad.expectedWaitMillis();
            load = newLoad;
        }
    }
}
