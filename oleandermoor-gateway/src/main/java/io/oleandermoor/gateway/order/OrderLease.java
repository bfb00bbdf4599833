package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.follow.StoreFollower;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.StoreStatusException;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The exclusive right of one entry to give orders to engines, based on a lease of the store. Its validity is measured
 * from the time at which the last successful renewal was sent, so that a holder that was suspended stops before another
 * entry may start. A holder that follows another entry waits for a gap before its first order. The store revision at
 * which the lease was acquired is the fencing token. Must be used on the event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class OrderLease {

    private static final Logger LOG = LogManager.getLogger(OrderLease.class);
    private static final String KEY_PREFIX = "oleandermoor/orders/";
    private static final String HOLDER_KEY = KEY_PREFIX + "holder";
    /** Remains when the lease ends, so that the next holder can determine whether another entry was the last holder. */
    private static final String LAST_HOLDER_KEY = KEY_PREFIX + "last";
    /** The watch reports the end of a lease immediately; the full reads compensate for a watch that missed it. */
    private static final StoreFollower.WatchTiming FOLLOWER_TIMING =
            new StoreFollower.WatchTiming(8_000, () -> 50, 15_000);

    private static final long LEASE_DURATION_MILLIS = 2_000;
    private static final long RENEWAL_INTERVAL_MILLIS = 500;
    private static final long RENEWAL_RETRY_MILLIS = 200;
    /** Time between the end of the right and that of the lease in the store, in which orders in transit arrive. */
    private static final long EXPIRY_MARGIN_MILLIS = 400;
    /** Base of the random delay before an attempt to acquire a free lease, which spreads the attempts of entries. */
    private static final long ACQUISITION_SPREAD_MILLIS = 150;
    /** Base of the random delay before the next attempt after a failed one or after the loss of the lease. */
    private static final long ACQUISITION_RETRY_MILLIS = 700;

    private final EventLoop loop;
    private final StoreClient store;
    private final String entry;
    private final long holderGapMillis;
    private final long acquisitionDelayMillis;
    private long leaseId;
    private long fencingToken;
    private long ordersAllowedFromMillis;
    private boolean holder;
    private boolean stopped;
    private boolean acquisitionPending;
    private Optional<StoreItem> holderItem = Optional.empty();
    private @Nullable Timestamp lastRenewal;

    /**
     * Creates a lease that is not held.
     *
     * @param loop the event loop
     * @param store the client of the store
     * @param entry the name of this entry
     * @param holderGapMillis the minimum time between the orders of two holders
     * @param acquisitionDelayMillis the additional time for which this entry leaves a free lease to others
     */
    public OrderLease(
            EventLoop loop, StoreClient store, String entry, long holderGapMillis, long acquisitionDelayMillis) {
        this.loop = loop;
        this.store = store;
        this.entry = entry;
        this.holderGapMillis = holderGapMillis;
        this.acquisitionDelayMillis = acquisitionDelayMillis;
    }

    /** Starts to follow the holder and to acquire the lease when it is free. */
    public void start() {
        new StoreFollower(loop, store, KEY_PREFIX, FOLLOWER_TIMING, new HolderListener()).start();
    }

    /** Returns whether this entry may send an order now. */
    public boolean mayGiveOrders() {
        return holdsLease() && Timestamp.monotonicNowMillis() >= ordersAllowedFromMillis;
    }

    /** Returns whether this entry holds the lease, even if it still has to wait before its first order. */
    public boolean holdsLease() {
        return holder && lastRenewal != null && lastRenewal.ageMillis() < LEASE_DURATION_MILLIS - EXPIRY_MARGIN_MILLIS;
    }

    /** Returns the fencing token of the last acquisition. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Releases the lease and makes no further attempt to acquire it. */
    public void stop() {
        stopped = true;
        if (holder) {
            holder = false;
            store.revokeLease(leaseId)
                    .subscribe(() -> LOG.info("event=orders_released entry={}", entry), this::logFailure);
        }
    }

    private void logFailure(Throwable cause) {
        LOG.warn("event=orders_release_failed entry={} cause=\"{}\"", entry, cause.getMessage());
    }

    private final class HolderListener implements StoreFollower.Listener {

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp current) {
            holderItem = Optional.empty();
            onChanges(reading, current);
        }

        @Override
        public void onChanges(StoreReadResult reading, Timestamp current) {
            reading.items().stream()
                    .filter(item -> item.key().equals(HOLDER_KEY))
                    .forEach(item -> holderItem = item.removed() ? Optional.empty() : Optional.of(item));
            scheduleAcquisition(ACQUISITION_SPREAD_MILLIS);
        }
    }

    /** Schedules an attempt to acquire the lease if it is free and no attempt is pending. */
    private void scheduleAcquisition(long baseDelayMillis) {
        if (!acquisitionPending && mayAcquire()) {
            acquisitionPending = true;
            long delayMillis = ThreadLocalRandom.current().nextLong(baseDelayMillis)
                    + baseDelayMillis / 2
                    + acquisitionDelayMillis;
            loop.schedule(this::tryToAcquire, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether the lease is free. A holder with this entry's name is this entry before its restart. */
    private boolean mayAcquire() {
        return !stopped
                && !holder
                && holderItem.map(OrderLease::textOf).orElse(entry).equals(entry);
    }

    private void tryToAcquire() {
        if (!mayAcquire()) {
            acquisitionPending = false;
            return;
        }
        Timestamp requestSent = Timestamp.now();
        byte[] name = entry.getBytes(StandardCharsets.UTF_8);
        // The write must depend on the state that was checked above, as another entry may acquire the lease meanwhile.
        long holderRevision = holderItem.map(StoreItem::revision).orElse(0L);
        Single.zip(store.read(LAST_HOLDER_KEY), store.grantLease(LEASE_DURATION_MILLIS), LeaseGrant::new)
                .flatMap(grant -> {
                    leaseId = grant.leaseId();
                    long lastRevision =
                            grant.lastHolder().map(StoreItem::revision).orElse(0L);
                    boolean previousHolderDiffers = grant.lastHolder().isPresent()
                            && !textOf(grant.lastHolder().get()).equals(entry);
                    return store.write(List.of(
                                    new StoreClient.ConditionalWrite(HOLDER_KEY, holderRevision, name, grant.leaseId()),
                                    new StoreClient.ConditionalWrite(LAST_HOLDER_KEY, lastRevision, name, 0)))
                            .map(revision -> new Acquisition(revision, previousHolderDiffers));
                })
                .subscribe(acquisition -> acquired(acquisition, requestSent), this::acquisitionFailed);
    }

    private static String textOf(StoreItem item) {
        return new String(item.value(), StandardCharsets.UTF_8);
    }

    private void acquisitionFailed(Throwable cause) {
        LOG.info("event=orders_not_taken entry={} cause=\"{}\"", entry, cause.getMessage());
        acquisitionPending = false;
        scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
    }

    private void acquired(Acquisition acquisition, Timestamp requestSent) {
        acquisitionPending = false;
        holder = true;
        fencingToken = acquisition.fencingToken();
        lastRenewal = requestSent;
        ordersAllowedFromMillis =
                Timestamp.monotonicNowMillis() + (acquisition.previousHolderDiffers() ? holderGapMillis : 0);
        LOG.info(
                "event=orders_taken entry={} token={} other_before={}",
                entry,
                fencingToken,
                acquisition.previousHolderDiffers());
        loop.schedule(this::renew, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (stopped) {
            return;
        }
        Timestamp requestSent = Timestamp.now();
        store.renewLease(leaseId)
                .subscribe(
                        () -> {
                            lastRenewal = requestSent;
                            loop.schedule(this::renew, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                        },
                        cause -> renewalFailed(cause));
    }

    private void renewalFailed(Throwable cause) {
        boolean leaseEnded = cause instanceof StoreStatusException failure && failure.notFound();
        if (leaseEnded) {
            LOG.warn("event=orders_lost entry={} token={} cause=\"{}\"", entry, fencingToken, cause.getMessage());
            holder = false;
            scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
        } else {
            loop.schedule(this::renew, RENEWAL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private record LeaseGrant(Optional<StoreItem> lastHolder, long leaseId) {}

    private record Acquisition(long fencingToken, boolean previousHolderDiffers) {}
}
