package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.follow.StoreFollower;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreException;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReading;
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
 * The right of one entry to give orders to engines. It is held under a lease of the store and counted from the moment
 * at which the last renewal was sent, so that a holder that was frozen stops before another one may begin. A new holder
 * waits for the gap between two holders; the revision at which it took the right is its fencing token. Used on the
 * event loop only.
 */
// Calls end by themselves with an answer or a time-out, and tasks run until the loop ends: neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class OrderLease {

    private static final Logger LOG = LogManager.getLogger(OrderLease.class);
    private static final String KEY_PREFIX = "oleandermoor/orders/";
    private static final String HOLDER_KEY = KEY_PREFIX + "holder";
    /** Stays when the lease ends, and tells the next holder whether another entry gave the last orders. */
    private static final String LAST_HOLDER_KEY = KEY_PREFIX + "last";
    /** The end of a lease is heard at once by the watch; reading all again makes up for a watch that missed it. */
    private static final StoreFollower.Pace FOLLOWER_PACE = new StoreFollower.Pace(8_000, () -> 50, 15_000);

    private static final long LEASE_DURATION_MILLIS = 2_000;
    private static final long RENEWAL_INTERVAL_MILLIS = 500;
    private static final long RENEWAL_RETRY_MILLIS = 200;
    /** The right ends this long before the store ends the lease: time for an order that is on its way. */
    private static final long EXPIRY_MARGIN_MILLIS = 400;
    /** Entries try to take a free right within this time, spread so that they do not ask together. */
    private static final long ACQUISITION_SPREAD_MILLIS = 150;
    /** Time until the next try after one that failed. */
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
    private @Nullable Moment lastRenewal;

    /**
     * Creates a lease that is not held.
     *
     * @param loop the event loop
     * @param store the store
     * @param entry the name of this entry
     * @param gapMillis the time between the orders of two holders
     * @param handicapMillis the time for which this entry leaves a free right to others
     */
    public OrderLease(EventLoop loop, StoreClient store, String entry, long gapMillis, long handicapMillis) {
        this.loop = loop;
        this.store = store;
        this.entry = entry;
        this.holderGapMillis = gapMillis;
        this.acquisitionDelayMillis = handicapMillis;
    }

    /** Starts to ask for the right. */
    public void start() {
        new StoreFollower(loop, store, KEY_PREFIX, FOLLOWER_PACE, new HolderListener()).start();
    }

    /** Returns whether this entry may send an order now. */
    public boolean mayGiveOrders() {
        return holdsLease() && Moment.steadyNow() >= ordersAllowedFromMillis;
    }

    /** Returns whether this entry has the right, though it may still have to wait before its first order. */
    public boolean holdsLease() {
        return holder && lastRenewal != null && lastRenewal.ageMillis() < LEASE_DURATION_MILLIS - EXPIRY_MARGIN_MILLIS;
    }

    /** Returns the fencing token of the present term. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Gives the right back. */
    public void stop() {
        stopped = true;
        if (holder) {
            holder = false;
            store.endLease(leaseId)
                    .subscribe(() -> LOG.info("event=orders_released entry={}", entry), this::logFailure);
        }
    }

    private void logFailure(Throwable cause) {
        LOG.warn("event=orders_release_failed entry={} cause=\"{}\"", entry, cause.getMessage());
    }

    private final class HolderListener implements StoreFollower.Listener {

        @Override
        public void all(StoreReading reading, Moment current) {
            holderItem = Optional.empty();
            changes(reading, current);
        }

        @Override
        public void changes(StoreReading reading, Moment current) {
            reading.items().stream()
                    .filter(item -> item.key().equals(HOLDER_KEY))
                    .forEach(item -> holderItem = item.removed() ? Optional.empty() : Optional.of(item));
            scheduleAcquisition(ACQUISITION_SPREAD_MILLIS);
        }
    }

    /** Tries to take the right after a while if it is free then. */
    private void scheduleAcquisition(long delayMillis) {
        if (!acquisitionPending && mayAcquire()) {
            acquisitionPending = true;
            long delay = ThreadLocalRandom.current().nextLong(delayMillis) + delayMillis / 2 + acquisitionDelayMillis;
            loop.schedule(this::tryToAcquire, delay, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether nobody holds the right; a holder of the same name is this entry before its restart. */
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
        Moment asked = Moment.now();
        byte[] name = entry.getBytes(StandardCharsets.UTF_8);
        // The state on which the decision rests, not a later one: another entry may take the right meanwhile.
        long holderRevision = holderItem.map(StoreItem::revision).orElse(0L);
        Single.zip(store.read(LAST_HOLDER_KEY), store.grantLease(LEASE_DURATION_MILLIS), LeaseGrant::new)
                .flatMap(claim -> {
                    leaseId = claim.leaseId();
                    long lastRevision =
                            claim.lastHolder().map(StoreItem::revision).orElse(0L);
                    boolean other = claim.lastHolder().isPresent()
                            && !textOf(claim.lastHolder().get()).equals(entry);
                    return store.write(List.of(
                                    new StoreClient.ConditionalWrite(HOLDER_KEY, holderRevision, name, claim.leaseId()),
                                    new StoreClient.ConditionalWrite(LAST_HOLDER_KEY, lastRevision, name, 0)))
                            .map(revision -> new Acquisition(revision, other));
                })
                .subscribe(term -> acquired(term, asked), this::acquisitionFailed);
    }

    private static String textOf(StoreItem item) {
        return new String(item.value(), StandardCharsets.UTF_8);
    }

    private void acquisitionFailed(Throwable cause) {
        LOG.info("event=orders_not_taken entry={} cause=\"{}\"", entry, cause.getMessage());
        acquisitionPending = false;
        scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
    }

    private void acquired(Acquisition term, Moment asked) {
        acquisitionPending = false;
        holder = true;
        fencingToken = term.fencingToken();
        lastRenewal = asked;
        ordersAllowedFromMillis = Moment.steadyNow() + (term.previousHolderDiffers() ? holderGapMillis : 0);
        LOG.info(
                "event=orders_taken entry={} token={} other_before={}",
                entry,
                fencingToken,
                term.previousHolderDiffers());
        loop.schedule(this::renew, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (stopped) {
            return;
        }
        Moment asked = Moment.now();
        store.renewLease(leaseId)
                .subscribe(
                        () -> {
                            lastRenewal = asked;
                            loop.schedule(this::renew, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                        },
                        cause -> renewalFailed(cause));
    }

    private void renewalFailed(Throwable cause) {
        boolean over = cause instanceof StoreException answer && answer.leaseOver();
        if (over) {
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
