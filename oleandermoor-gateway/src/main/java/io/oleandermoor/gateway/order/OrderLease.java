package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.follow.StoreFollower;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreLease;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.StoreStatusException;
import io.oleandermoor.state.restore.HolderRecord;
import io.oleandermoor.state.restore.HolderRecord.Succession;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
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
 * which the lease was acquired, with the era of the store above it, is the fencing token. A restore of the store ends
 * the right. Must be used on the event loop only.
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
    private @Nullable StoreLease lease;
    private long fencingToken;
    private long ordersAllowedFromMillis;
    private boolean holder;
    private boolean stopped;
    private boolean acquisitionPending;
    private boolean restoreSeen;
    /** Whether the holder has been read in the current era; its revision means nothing in another one. */
    private boolean holderKnown;

    private Optional<StoreItem> holderItem = Optional.empty();
    private @Nullable Timestamp lastRenewal;
    /** The time of the last order under the current lease or an earlier one of this process. */
    private @Nullable Timestamp lastOrder;

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
        store.addEraListener((era, restored) -> {
            if (restored) {
                endByRestore();
            }
        });
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

    /** Records that an order is sent. */
    public void recordOrder() {
        lastOrder = Timestamp.now();
    }

    /** Returns the time in milliseconds since the last order of this process, for logs; -1 if there was none. */
    private long lastOrderAgeMillis() {
        return lastOrder == null ? -1 : lastOrder.ageMillis();
    }

    /** Releases the lease and makes no further attempt to acquire it. */
    public void stop() {
        stopped = true;
        StoreLease held = lease;
        if (holder && held != null) {
            holder = false;
            store.revokeLease(held)
                    .subscribe(
                            () -> LOG.info(
                                    "event=orders_released entry={} token={} last_order_ms={}",
                                    entry,
                                    fencingToken,
                                    lastOrderAgeMillis()),
                            this::logFailure);
        }
    }

    /** Ends the right: another entry may have acquired it in the restored store, whose lease may have the same id. */
    private void endByRestore() {
        restoreSeen = true;
        holderKnown = false;
        holderItem = Optional.empty();
        if (holder) {
            logLoss("store restored");
            holder = false;
        }
    }

    private void logLoss(String cause) {
        LOG.warn(
                "event=orders_lost entry={} token={} cause=\"{}\" era={} renewal_age_ms={} last_order_ms={}",
                entry,
                fencingToken,
                cause,
                store.era(),
                lastRenewal == null ? -1 : lastRenewal.ageMillis(),
                lastOrderAgeMillis());
    }

    private void logFailure(Throwable cause) {
        LOG.warn("event=orders_release_failed entry={} cause=\"{}\"", entry, cause.getMessage());
    }

    private final class HolderListener implements StoreFollower.Listener {

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp current) {
            holderItem = Optional.empty();
            holderKnown = true;
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

    /**
     * Returns whether the lease is free. A holder with this entry's name is this entry before its restart. A holder of
     * an older era comes from the copy, or from a write that was delayed until after the restore and may be bound to
     * the lease of any entry, so that it might never end.
     */
    private boolean mayAcquire() {
        return !stopped
                && !holder
                && holderKnown
                && holderItem
                        .map(OrderLease::recordOf)
                        .map(record -> record.entry().equals(entry) || record.isOfOlderEra(store.era()))
                        .orElse(true);
    }

    private void tryToAcquire() {
        if (!mayAcquire()) {
            acquisitionPending = false;
            return;
        }
        Timestamp requestSent = Timestamp.now();
        // The write must depend on the state that was checked above, as another entry may acquire the lease meanwhile.
        long holderRevision = holderItem.map(StoreItem::revision).orElse(0L);
        long era = store.era();
        Single.zip(store.read(LAST_HOLDER_KEY), store.grantLease(LEASE_DURATION_MILLIS), LeaseGrant::new)
                .flatMap(grant -> acquire(grant, holderRevision, era))
                .subscribe(acquisition -> acquired(acquisition, requestSent), this::acquisitionFailed);
    }

    private Single<Acquisition> acquire(LeaseGrant grant, long holderRevision, long era) {
        long lastRevision = grant.lastHolder().map(StoreItem::revision).orElse(0L);
        Succession succession =
                HolderRecord.succession(grant.lastHolder().map(OrderLease::recordOf), entry, era, restoreSeen);
        HolderRecord last = new HolderRecord(entry, succession.olderErasEnded() ? era : HolderRecord.NO_ERA);
        return store.write(
                        era,
                        List.of(
                                new StoreClient.ConditionalWrite(
                                        HOLDER_KEY,
                                        holderRevision,
                                        encode(new HolderRecord(entry, era)),
                                        grant.lease().id()),
                                new StoreClient.ConditionalWrite(LAST_HOLDER_KEY, lastRevision, encode(last), 0)))
                .map(revision -> new Acquisition(
                        grant.lease(),
                        HolderRecord.fencingToken(era, revision),
                        succession,
                        grant.lastHolder().map(item -> recordOf(item).text()).orElse("")));
    }

    private static HolderRecord recordOf(StoreItem item) {
        return HolderRecord.parse(new String(item.value(), StandardCharsets.UTF_8));
    }

    private static byte[] encode(HolderRecord record) {
        return record.text().getBytes(StandardCharsets.UTF_8);
    }

    private void acquisitionFailed(Throwable cause) {
        LOG.info("event=orders_not_taken entry={} cause=\"{}\"", entry, cause.getMessage());
        acquisitionPending = false;
        scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
    }

    private void acquired(Acquisition acquisition, Timestamp requestSent) {
        acquisitionPending = false;
        holder = true;
        lease = acquisition.lease();
        fencingToken = acquisition.fencingToken();
        lastRenewal = requestSent;
        Succession succession = acquisition.succession();
        ordersAllowedFromMillis = Timestamp.monotonicNowMillis() + (succession.needsGap() ? holderGapMillis : 0);
        LOG.info(
                "event=orders_taken entry={} token={} era={} succession={} last_holder=\"{}\" taken_ms={} last_order_ms={}",
                entry,
                fencingToken,
                acquisition.lease().era(),
                succession.name().toLowerCase(Locale.ROOT),
                acquisition.lastHolder(),
                requestSent.ageMillis(),
                lastOrderAgeMillis());
        scheduleRenewal(acquisition.lease(), RENEWAL_INTERVAL_MILLIS);
        if (!succession.olderErasEnded()) {
            scheduleEndOfOlderEras(acquisition.lease(), holderGapMillis);
        }
    }

    private void scheduleRenewal(StoreLease held, long delayMillis) {
        loop.schedule(() -> renew(held), delayMillis, TimeUnit.MILLISECONDS);
    }

    private boolean isCurrent(StoreLease held) {
        return !stopped && holder && held.equals(lease);
    }

    private void renew(StoreLease held) {
        if (!isCurrent(held)) {
            return;
        }
        Timestamp requestSent = Timestamp.now();
        store.renewLease(held)
                .andThen(Single.defer(() -> isOwnHolderRecord(held)))
                .subscribe(own -> renewed(held, own, requestSent), cause -> renewalFailed(held, cause));
    }

    /**
     * Reads whether the holder is still this entry. A write of another entry that was delayed until after a restore may
     * have replaced it, if its expected revision was assigned again; the lease does not show it.
     */
    private Single<Boolean> isOwnHolderRecord(StoreLease held) {
        if (held.era() == HolderRecord.NO_ERA) {
            return Single.just(true);
        }
        HolderRecord own = new HolderRecord(entry, held.era());
        return store.read(HOLDER_KEY)
                .map(item -> item.map(OrderLease::recordOf).filter(own::equals).isPresent());
    }

    private void renewed(StoreLease held, boolean own, Timestamp requestSent) {
        if (!isCurrent(held)) {
            return;
        }
        if (own) {
            lastRenewal = requestSent;
            scheduleRenewal(held, RENEWAL_INTERVAL_MILLIS);
        } else {
            lose("holder replaced");
        }
    }

    private void renewalFailed(StoreLease held, Throwable cause) {
        if (!isCurrent(held)) {
            return;
        }
        if (cause instanceof StoreStatusException failure && failure.notFound()) {
            lose("lease ended");
        } else {
            scheduleRenewal(held, RENEWAL_RETRY_MILLIS);
        }
    }

    private void lose(String cause) {
        logLoss(cause);
        holder = false;
        scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
    }

    /**
     * Schedules the record that no holder of an older era gives orders any more. It is written after the gap only: an
     * entry that acquires the lease before has to wait itself, also this entry after a restart.
     */
    private void scheduleEndOfOlderEras(StoreLease held, long delayMillis) {
        loop.schedule(() -> recordEndOfOlderEras(held), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void recordEndOfOlderEras(StoreLease held) {
        if (!isCurrent(held) || !holdsLease()) {
            return;
        }
        store.read(LAST_HOLDER_KEY)
                .toMaybe()
                .mapOptional(item -> item)
                // Another entry that has acquired the lease since then writes its own record.
                .filter(item -> recordOf(item).entry().equals(entry))
                .flatMapSingle(item -> store.write(
                        held.era(),
                        List.of(new StoreClient.ConditionalWrite(
                                LAST_HOLDER_KEY, item.revision(), encode(new HolderRecord(entry, held.era())), 0))))
                .subscribe(
                        revision -> LOG.info("event=older_eras_ended entry={} era={}", entry, held.era()),
                        cause -> scheduleEndOfOlderEras(held, RENEWAL_RETRY_MILLIS));
    }

    private record LeaseGrant(Optional<StoreItem> lastHolder, StoreLease lease) {}

    private record Acquisition(StoreLease lease, long fencingToken, Succession succession, String lastHolder) {}
}
