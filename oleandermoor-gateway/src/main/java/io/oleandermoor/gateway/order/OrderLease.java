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
 * The exclusive right of one machine to give orders to engines, based on a lease of the store. Its validity is measured
 * from the time at which the last successful renewal was sent, so that a holder that was suspended stops before another
 * machine may start. The store names the machine that may have given the latest orders; another one waits for a gap
 * after it has acquired the right, and gives orders only once the store names itself. An acquisition without an order
 * leaves no trace, so whatever ends it, the next one waits as well. The store revision at which the lease was acquired,
 * with the era of the store above it, is the fencing token. A restore of the store ends the right. Must be used on the
 * event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class OrderLease {

    private static final Logger LOG = LogManager.getLogger(OrderLease.class);
    private static final String KEY_PREFIX = "oleandermoor/orders/";
    private static final String HOLDER_KEY = KEY_PREFIX + "holder";
    /** Names the only machine that may have given orders within the gap; remains when the lease ends. */
    private static final String LAST_ORDERS_KEY = KEY_PREFIX + "last";
    /** The watch reports the end of a lease immediately; the full reads compensate for a watch that missed it. */
    private static final StoreFollower.WatchTiming FOLLOWER_TIMING =
            new StoreFollower.WatchTiming(8_000, () -> 50, 15_000);

    private static final long LEASE_DURATION_MILLIS = 2_000;
    private static final long RENEWAL_INTERVAL_MILLIS = 500;
    private static final long RENEWAL_RETRY_MILLIS = 200;
    /** Time between the last order and the end of the lease in the store, in which orders in transit arrive. */
    public static final long ARRIVAL_MARGIN_MILLIS = 400;

    /** Base of the random delay before an attempt to acquire a free lease, which spreads the attempts of entries. */
    private static final long ACQUISITION_SPREAD_MILLIS = 150;
    /** Base of the random delay before the next attempt after a failed one or after the loss of the lease. */
    private static final long ACQUISITION_RETRY_MILLIS = 700;

    private final EventLoop loop;
    private final StoreClient store;
    private final String machine;
    private final long holderGapMillis;
    private final long acquisitionDelayMillis;
    private @Nullable StoreLease lease;
    private long fencingToken;
    private long acquisitionRevision;
    /** Whether the store names this machine as the one that may give orders, under the current lease. */
    private boolean ordersAllowed;

    private boolean holder;
    private boolean stopped;
    private boolean acquisitionPending;
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
     * @param machine the name of this machine; one that replaces it must have another name
     * @param holderGapMillis the minimum time between the orders of two holders
     * @param acquisitionDelayMillis the additional time for which this entry leaves a free lease to others
     */
    public OrderLease(
            EventLoop loop, StoreClient store, String machine, long holderGapMillis, long acquisitionDelayMillis) {
        this.loop = loop;
        this.store = store;
        this.machine = machine;
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
        return ordersAllowed && holdsLease();
    }

    /** Returns whether this entry holds the lease, even if it still has to wait before its first order. */
    public boolean holdsLease() {
        return holder
                && lease != null
                && lastRenewal != null
                && lastRenewal.ageMillis() < lease.timeToLiveMillis() - ARRIVAL_MARGIN_MILLIS;
    }

    /** Returns the fencing token of the last acquisition. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Returns whether an order may be sent now, and records that it is. Must be asked when the order is written, as the
     * right may have ended since the order was planned.
     *
     * @param token the fencing token of the order
     */
    public boolean permitsOrder(long token) {
        if (!mayGiveOrders() || token != fencingToken) {
            LOG.info("event=order_withheld machine={} token={} current={}", machine, token, fencingToken);
            return false;
        }
        lastOrder = Timestamp.now();
        return true;
    }

    /** Returns the time in milliseconds since the last order of this process, for logs; -1 if there was none. */
    private long lastOrderAgeMillis() {
        return lastOrder == null ? -1 : lastOrder.ageMillis();
    }

    /**
     * Ends the right, releases the lease once the last order has arrived or been given up, and makes no further attempt
     * to acquire it. The time since the last order does not shorten the wait: it seems longer after a clock step.
     */
    public void stop() {
        stopped = true;
        StoreLease held = lease;
        if (holder && held != null) {
            holder = false;
            loop.schedule(() -> release(held), ARRIVAL_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void release(StoreLease held) {
        store.revokeLease(held)
                .subscribe(
                        () -> LOG.info(
                                "event=orders_released machine={} token={} last_order_ms={}",
                                machine,
                                fencingToken,
                                lastOrderAgeMillis()),
                        this::logFailure);
    }

    /** Ends the right: another entry may have acquired it in the restored store, whose lease may have the same id. */
    private void endByRestore() {
        holderKnown = false;
        holderItem = Optional.empty();
        if (holder) {
            lose("store restored");
        }
    }

    private void logLoss(String cause) {
        LOG.warn(
                "event=orders_lost machine={} token={} cause=\"{}\" era={} renewal_age_ms={} last_order_ms={}",
                machine,
                fencingToken,
                cause,
                store.era(),
                lastRenewal == null ? -1 : lastRenewal.ageMillis(),
                lastOrderAgeMillis());
    }

    private void logFailure(Throwable cause) {
        LOG.warn("event=orders_release_failed machine={} cause=\"{}\"", machine, cause.getMessage());
    }

    private final class HolderListener implements StoreFollower.Listener {

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp current) {
            holderItem = Optional.empty();
            holderKnown = true;
            onChanges(reading, current);
            if (holder && holderItem.isEmpty() && reading.storeRevision() >= acquisitionRevision) {
                lose("holder removed");
            }
        }

        @Override
        public void onChanges(StoreReadResult reading, Timestamp current) {
            reading.items().stream()
                    .filter(item -> item.key().equals(HOLDER_KEY))
                    .forEach(this::onHolder);
            scheduleAcquisition(ACQUISITION_SPREAD_MILLIS);
        }

        private void onHolder(StoreItem item) {
            holderItem = item.removed() ? Optional.empty() : Optional.of(item);
            // What happened before the acquisition may be told after it.
            if (holder && item.revision() > acquisitionRevision && !isOwn(item)) {
                lose("holder replaced");
            }
        }
    }

    private boolean isOwn(StoreItem item) {
        return !item.removed() && recordOf(item).machine().equals(machine);
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
     * Returns whether the lease is free. A holder with this machine's name is this machine before its restart. A holder
     * of an older era comes from the copy, or from a write that was delayed until after the restore and may be bound to
     * the lease of any machine, so that it might never end.
     */
    private boolean mayAcquire() {
        return !stopped
                && !holder
                && holderKnown
                && holderItem
                        .map(OrderLease::recordOf)
                        .map(record -> record.machine().equals(machine) || record.isOfOlderEra(store.era()))
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
        Single.zip(store.read(LAST_ORDERS_KEY), store.grantLease(LEASE_DURATION_MILLIS), LeaseGrant::new)
                .flatMap(grant -> acquire(grant, holderRevision, era))
                .subscribe(acquisition -> acquired(acquisition, requestSent), this::acquisitionFailed);
    }

    /** Acquires the lease, provided that neither the holder nor the machine that gave the latest orders has changed. */
    private Single<Acquisition> acquire(LeaseGrant grant, long holderRevision, long era) {
        HolderRecord record = new HolderRecord(machine, era);
        return store.write(
                        era,
                        List.of(grant.unchangedLastOrders()),
                        List.of(new StoreClient.ConditionalWrite(
                                HOLDER_KEY,
                                holderRevision,
                                encode(record),
                                grant.lease().id())))
                .map(revision -> new Acquisition(grant, revision, record));
    }

    private static HolderRecord recordOf(StoreItem item) {
        return HolderRecord.parse(new String(item.value(), StandardCharsets.UTF_8));
    }

    private static byte[] encode(HolderRecord record) {
        return record.text().getBytes(StandardCharsets.UTF_8);
    }

    private void acquisitionFailed(Throwable cause) {
        LOG.info("event=orders_not_taken machine={} cause=\"{}\"", machine, cause.getMessage());
        acquisitionPending = false;
        scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
    }

    private void acquired(Acquisition acquisition, Timestamp requestSent) {
        acquisitionPending = false;
        StoreLease acquired = acquisition.grant().lease();
        if (stopped) {
            release(acquired);
            return;
        }
        holder = true;
        lease = acquired;
        fencingToken = HolderRecord.fencingToken(acquired.era(), acquisition.revision());
        acquisitionRevision = acquisition.revision();
        lastRenewal = requestSent;
        Succession succession = acquisition.succession();
        ordersAllowed = succession == Succession.IMMEDIATE;
        LOG.info(
                "event=orders_taken machine={} token={} era={} succession={} last_orders=\"{}\" taken_ms={}"
                        + " last_order_ms={}",
                machine,
                fencingToken,
                acquired.era(),
                succession.name().toLowerCase(Locale.ROOT),
                acquisition
                        .grant()
                        .lastOrders()
                        .map(item -> recordOf(item).text())
                        .orElse(""),
                requestSent.ageMillis(),
                lastOrderAgeMillis());
        scheduleRenewal(acquired, RENEWAL_INTERVAL_MILLIS);
        if (!ordersAllowed) {
            scheduleClaim(acquisition, succession.waitMillis(holderGapMillis, LEASE_DURATION_MILLIS));
        }
    }

    private void scheduleClaim(Acquisition acquisition, long delayMillis) {
        loop.schedule(() -> claimOrders(acquisition), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Writes that this machine gives orders from now on. The write depends on the acquisition, so a delayed one has no
     * effect once the lease has ended.
     */
    private void claimOrders(Acquisition acquisition) {
        StoreLease held = acquisition.grant().lease();
        if (!isCurrent(held)) {
            return;
        }
        store.write(
                        held.era(),
                        List.of(new StoreClient.Condition(HOLDER_KEY, acquisition.revision())),
                        List.of(new StoreClient.ConditionalWrite(
                                LAST_ORDERS_KEY,
                                acquisition.grant().lastOrdersRevision(),
                                encode(acquisition.record()),
                                0)))
                .subscribe(revision -> allowOrders(held), cause -> claimFailed(acquisition, cause));
    }

    private void claimFailed(Acquisition acquisition, Throwable cause) {
        StoreLease held = acquisition.grant().lease();
        if (!isCurrent(held)) {
            return;
        }
        if (cause instanceof StoreStatusException failure && failure.conflict()) {
            // An earlier attempt without an answer may have been carried out.
            store.read(LAST_ORDERS_KEY)
                    .map(item -> item.map(OrderLease::recordOf)
                            .filter(acquisition.record()::equals)
                            .isPresent())
                    .subscribe(
                            own -> {
                                if (own) {
                                    allowOrders(held);
                                } else if (isCurrent(held)) {
                                    lose("orders claimed by another machine");
                                }
                            },
                            failedRead -> retryClaim(acquisition, failedRead));
        } else {
            retryClaim(acquisition, cause);
        }
    }

    private void retryClaim(Acquisition acquisition, Throwable cause) {
        LOG.info(
                "event=orders_not_claimed machine={} token={} cause=\"{}\"", machine, fencingToken, cause.getMessage());
        scheduleClaim(acquisition, RENEWAL_RETRY_MILLIS);
    }

    private void allowOrders(StoreLease held) {
        if (isCurrent(held)) {
            ordersAllowed = true;
            LOG.info("event=orders_allowed machine={} token={}", machine, fencingToken);
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
        HolderRecord own = new HolderRecord(machine, held.era());
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
        ordersAllowed = false;
        scheduleAcquisition(ACQUISITION_RETRY_MILLIS);
    }

    /** The lease for an acquisition, and the record of the machine that may have given the latest orders. */
    private record LeaseGrant(Optional<StoreItem> lastOrders, StoreLease lease) {

        long lastOrdersRevision() {
            return lastOrders.map(StoreItem::revision).orElse(0L);
        }

        StoreClient.Condition unchangedLastOrders() {
            return new StoreClient.Condition(LAST_ORDERS_KEY, lastOrdersRevision());
        }
    }

    /**
     * A successful acquisition.
     *
     * @param grant the lease, and what was known of the orders before
     * @param revision the revision of the store at which the lease was acquired
     * @param record the record of this holder
     */
    private record Acquisition(LeaseGrant grant, long revision, HolderRecord record) {

        Succession succession() {
            return HolderRecord.succession(
                    grant.lastOrders().map(OrderLease::recordOf), record.machine(), record.era());
        }
    }
}
