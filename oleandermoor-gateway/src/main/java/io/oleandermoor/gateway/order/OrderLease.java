package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.follow.StoreFollower;
import io.oleandermoor.gateway.view.Timestamp;
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
    private static final String PREFIX = "oleandermoor/orders/";
    private static final String HOLDER_KEY = PREFIX + "holder";
    /** Stays when the lease ends, and tells the next holder whether another entry gave the last orders. */
    private static final String LAST_KEY = PREFIX + "last";
    /** The end of a lease is heard at once by the watch; reading all again makes up for a watch that missed it. */
    private static final StoreFollower.Pace PACE = new StoreFollower.Pace(8_000, () -> 50, 15_000);

    private static final long LEASE_MILLIS = 2_000;
    private static final long RENEW_MILLIS = 500;
    private static final long RETRY_MILLIS = 200;
    /** The right ends this long before the store ends the lease: time for an order that is on its way. */
    private static final long MARGIN_MILLIS = 400;
    /** Entries try to take a free right within this time, spread so that they do not ask together. */
    private static final long SPREAD_MILLIS = 150;
    /** Time until the next try after one that failed. */
    private static final long NEXT_TRY_MILLIS = 700;

    private final EventLoop loop;
    private final StoreClient store;
    private final String entry;
    private final long gapMillis;
    private final long handicapMillis;
    private long lease;
    private long token;
    private long orderableMillis;
    private boolean holder;
    private boolean stopped;
    private boolean trying;
    private Optional<StoreItem> present = Optional.empty();
    private @Nullable Timestamp renewed;

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
        this.gapMillis = gapMillis;
        this.handicapMillis = handicapMillis;
    }

    /** Starts to ask for the right. */
    public void start() {
        new StoreFollower(loop, store, PREFIX, PACE, new Holder()).start();
    }

    /** Returns whether this entry may send an order now. */
    public boolean mayOrder() {
        return holdsLease() && Timestamp.monotonicNowMillis() >= orderableMillis;
    }

    /** Returns whether this entry has the right, though it may still have to wait before its first order. */
    public boolean holdsLease() {
        return holder && renewed != null && renewed.ageMillis() < LEASE_MILLIS - MARGIN_MILLIS;
    }

    /** Returns the fencing token of the present term. */
    public long token() {
        return token;
    }

    /** Gives the right back. */
    public void stop() {
        stopped = true;
        if (holder) {
            holder = false;
            store.endLease(lease).subscribe(() -> LOG.info("event=orders_released entry={}", entry), this::logFailure);
        }
    }

    private void logFailure(Throwable cause) {
        LOG.warn("event=orders_release_failed entry={} cause=\"{}\"", entry, cause.getMessage());
    }

    private final class Holder implements StoreFollower.Listener {

        @Override
        public void all(StoreReading reading, Timestamp current) {
            present = Optional.empty();
            changes(reading, current);
        }

        @Override
        public void changes(StoreReading reading, Timestamp current) {
            reading.items().stream()
                    .filter(item -> item.key().equals(HOLDER_KEY))
                    .forEach(item -> present = item.removed() ? Optional.empty() : Optional.of(item));
            tryLater(SPREAD_MILLIS);
        }
    }

    /** Tries to take the right after a while if it is free then. */
    private void tryLater(long delayMillis) {
        if (!trying && isFree()) {
            trying = true;
            long delay = ThreadLocalRandom.current().nextLong(delayMillis) + delayMillis / 2 + handicapMillis;
            loop.schedule(this::tryToTake, delay, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether nobody holds the right; a holder of the same name is this entry before its restart. */
    private boolean isFree() {
        return !stopped
                && !holder
                && present.map(OrderLease::text).orElse(entry).equals(entry);
    }

    private void tryToTake() {
        if (!isFree()) {
            trying = false;
            return;
        }
        Timestamp asked = Timestamp.now();
        byte[] name = entry.getBytes(StandardCharsets.UTF_8);
        // The state on which the decision rests, not a later one: another entry may take the right meanwhile.
        long holderRevision = present.map(StoreItem::revision).orElse(0L);
        Single.zip(store.read(LAST_KEY), store.grantLease(LEASE_MILLIS), Claim::new)
                .flatMap(claim -> {
                    lease = claim.lease();
                    long lastRevision = claim.last().map(StoreItem::revision).orElse(0L);
                    boolean other = claim.last().isPresent()
                            && !text(claim.last().get()).equals(entry);
                    return store.write(List.of(
                                    new StoreClient.ConditionalWrite(HOLDER_KEY, holderRevision, name, claim.lease()),
                                    new StoreClient.ConditionalWrite(LAST_KEY, lastRevision, name, 0)))
                            .map(revision -> new Term(revision, other));
                })
                .subscribe(term -> taken(term, asked), this::notTaken);
    }

    private static String text(StoreItem item) {
        return new String(item.value(), StandardCharsets.UTF_8);
    }

    private void notTaken(Throwable cause) {
        LOG.info("event=orders_not_taken entry={} cause=\"{}\"", entry, cause.getMessage());
        trying = false;
        tryLater(NEXT_TRY_MILLIS);
    }

    private void taken(Term term, Timestamp asked) {
        trying = false;
        holder = true;
        token = term.token();
        renewed = asked;
        orderableMillis = Timestamp.monotonicNowMillis() + (term.otherBefore() ? gapMillis : 0);
        LOG.info("event=orders_taken entry={} token={} other_before={}", entry, token, term.otherBefore());
        loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (stopped) {
            return;
        }
        Timestamp asked = Timestamp.now();
        store.renewLease(lease)
                .subscribe(
                        () -> {
                            renewed = asked;
                            loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
                        },
                        cause -> renewalFailed(cause));
    }

    private void renewalFailed(Throwable cause) {
        boolean over = cause instanceof StoreException answer && answer.leaseOver();
        if (over) {
            LOG.warn("event=orders_lost entry={} token={} cause=\"{}\"", entry, token, cause.getMessage());
            holder = false;
            tryLater(NEXT_TRY_MILLIS);
        } else {
            loop.schedule(this::renew, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private record Claim(Optional<StoreItem> last, long lease) {}

    private record Term(long token, boolean otherBefore) {}
}
