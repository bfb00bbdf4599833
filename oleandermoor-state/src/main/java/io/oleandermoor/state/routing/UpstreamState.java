package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * State that an entry keeps for one incarnation of an upstream. A new object is created when the upstream restarts, so
 * no state of the previous incarnation remains. Written under the lock of the routing table and read without it.
 */
final class UpstreamState extends UpstreamHealth {

    /** Number of slots assumed until the first load report. */
    private static final int DEFAULT_SLOTS = 8;

    final UpstreamId id;
    final FailureDomain failureDomain;
    final long incarnation;
    /** Sequence number of the last cache event. Guarded by the lock of the prefix affinity table. */
    long lastCacheSequence;
    /** Prefix blocks last used before this time are not trusted. Guarded by the lock of the prefix affinity table. */
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

    /** Returns the number of requests outstanding in the last load report plus those sent since its measurement. */
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
        sendHistory.recordSend(nowMillis);
        sentSinceReport = sentSinceReport + 1;
    }

    /** Applies a load report unless a later measurement has already been applied. */
    void updateLoad(UpstreamLoad newLoad) {
        UpstreamLoad previousLoad = load;
        if (previousLoad == null || newLoad.measuredAtMillis() >= previousLoad.measuredAtMillis()) {
            sentSinceReport = sendHistory.countSince(newLoad.measuredAtMillis());
            reportedOutstanding = newLoad.outstanding();
            slots = newLoad.slots();
            expectedWaitMillis = newLoad.expectedWaitMillis();
            load = newLoad;
        }
    }
}
