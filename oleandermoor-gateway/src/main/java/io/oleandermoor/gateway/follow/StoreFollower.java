package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.StoreStatusException;
import io.oleandermoor.platform.UnusableResponseException;
import io.oleandermoor.state.restore.RestoreWindow;
import io.reactivex.rxjava3.functions.Consumer;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Passes the items under a key prefix to a listener: reads all of them, then watches for changes. Reads all of them
 * again at intervals, when the store has dropped the history that a watch needs, and when the store was restored from a
 * copy, also once more after its writers have written again what the copy lacks. Used on the event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class StoreFollower {

    private static final Logger LOG = LogManager.getLogger(StoreFollower.class);
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAXIMUM_BACKOFF_MILLIS = 800;
    /** Spreads the full reads of all entries after a restore of the store. */
    private static final long MAXIMUM_RESTORE_DELAY_MILLIS = 200;
    /** The revision before the first full read, which is followed by a full read. */
    private static final long UNKNOWN_REVISION = -1;

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final WatchTiming timing;
    private final Listener listener;
    private long revision = UNKNOWN_REVISION;
    private long consecutiveFailures;
    private long lastListMillis;
    /** Identifies the request whose answer is used; a restore abandons the one in flight. */
    private long currentRequest;

    /**
     * Timing of the requests to the store.
     *
     * @param watchTimeoutMillis the time for which one watch waits for a change
     * @param batchDelayMillis the delay between a response and the next watch, which batches changes
     * @param relistIntervalMillis the interval of full reads; a watch may miss changes while the store drops history
     */
    public record WatchTiming(long watchTimeoutMillis, LongSupplier batchDelayMillis, long relistIntervalMillis) {}

    /** Receives items and changes. */
    public interface Listener {

        /**
         * Called when all items under the prefix have been read. Items that are not included no longer exist, unless
         * the store was just restored from a copy (see {@link io.oleandermoor.state.restore.RestoreWindow}).
         *
         * @param reading all items
         * @param confirmedAt a time at which these items were current
         */
        void onSnapshot(StoreReadResult reading, Timestamp confirmedAt);

        /**
         * Called when a watch has ended, with the changes or, after its timeout, without any.
         *
         * @param reading the changes
         * @param confirmedAt a time at which the items, with these changes, were current
         */
        void onChanges(StoreReadResult reading, Timestamp confirmedAt);

        /** Returns a listener that calls this listener and then, unless this one fails, another one. */
        default Listener andThen(Listener next) {
            Listener first = this;
            return new Listener() {
                @Override
                public void onSnapshot(StoreReadResult reading, Timestamp confirmedAt) {
                    first.onSnapshot(reading, confirmedAt);
                    next.onSnapshot(reading, confirmedAt);
                }

                @Override
                public void onChanges(StoreReadResult reading, Timestamp confirmedAt) {
                    first.onChanges(reading, confirmedAt);
                    next.onChanges(reading, confirmedAt);
                }
            };
        }
    }

    /**
     * Creates a follower that has not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param prefix the key prefix
     * @param timing the timing of the requests to the store
     * @param listener receives the items and changes
     */
    public StoreFollower(EventLoop loop, StoreClient store, String prefix, WatchTiming timing, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.timing = timing;
        this.listener = listener;
        store.addEraListener((era, restored) -> {
            if (restored) {
                readAgain();
            }
        });
    }

    /**
     * Forgets the revision, which means nothing in the restored store, and reads all items now and after the window.
     */
    private void readAgain() {
        LOG.info("event=read_again prefix={} revision={}", prefix, revision);
        abandonRequest();
        scheduleNext(ThreadLocalRandom.current().nextLong(MAXIMUM_RESTORE_DELAY_MILLIS));
        loop.schedule(
                () -> {
                    abandonRequest();
                    start();
                },
                RestoreWindow.DURATION_MILLIS + ThreadLocalRandom.current().nextLong(1, MAXIMUM_RESTORE_DELAY_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private void abandonRequest() {
        currentRequest++;
        revision = UNKNOWN_REVISION;
    }

    /** Sends the next request to the store: a full read if one is due, otherwise a watch. */
    public void start() {
        Timestamp requestedAt = Timestamp.now();
        long request = ++currentRequest;
        Consumer<Throwable> failureHandler = cause -> {
            if (request == currentRequest) {
                handleFailure(cause);
            }
        };
        boolean relistDue = requestedAt.monotonicMillis() - lastListMillis >= timing.relistIntervalMillis();
        if (revision < 0 || relistDue) {
            lastListMillis = requestedAt.monotonicMillis();
            store.list(prefix)
                    .filter(reading -> request == currentRequest)
                    .subscribe(reading -> handleList(reading, requestedAt), failureHandler);
        } else {
            store.watch(prefix, revision, timing.watchTimeoutMillis())
                    .filter(reading -> request == currentRequest)
                    .subscribe(reading -> handleChanges(reading, requestedAt), failureHandler);
        }
    }

    private void handleList(StoreReadResult reading, Timestamp requestedAt) {
        resetFailures();
        revision = reading.storeRevision();
        deliver(() -> listener.onSnapshot(reading, requestedAt), 0);
    }

    private void handleChanges(StoreReadResult reading, Timestamp requestedAt) {
        resetFailures();
        // Advance only to the revisions of received items, not to the revision of the store. After it drops history,
        // the store then responds with 410 to the next watch, whereas a watch from the revision of the store would miss
        // the changes that were not reported.
        for (StoreItem item : reading.items()) {
            revision = Math.max(revision, item.revision());
        }
        deliver(
                () -> listener.onChanges(reading, confirmedAt(reading, requestedAt)),
                timing.batchDelayMillis().getAsLong());
    }

    /**
     * Delivers items and schedules the next request. If the listener fails, it may have applied only a part of the
     * items, and a watch would not deliver them again, so the next request is a full read.
     */
    private void deliver(Runnable delivery, long nextDelayMillis) {
        try {
            delivery.run();
            scheduleNext(nextDelayMillis);
        } catch (RuntimeException | Error cause) {
            LOG.error("event=items_not_applied prefix={} revision={}", prefix, revision, cause);
            revision = UNKNOWN_REVISION;
            scheduleNext(MAXIMUM_BACKOFF_MILLIS);
        }
    }

    /**
     * Returns the time at which the items were current according to a response: the end of a watch that timed out
     * without changes, otherwise the start of the request.
     */
    private Timestamp confirmedAt(StoreReadResult reading, Timestamp requestedAt) {
        long elapsed = Timestamp.monotonicNowMillis() - requestedAt.monotonicMillis();
        boolean timedOut = reading.items().isEmpty() && elapsed >= timing.watchTimeoutMillis();
        return timedOut ? requestedAt.plus(timing.watchTimeoutMillis()) : requestedAt;
    }

    private void resetFailures() {
        if (consecutiveFailures > 0) {
            LOG.info("event=store_regained prefix={} failures={}", prefix, consecutiveFailures);
        }
        consecutiveFailures = 0;
    }

    private void handleFailure(Throwable cause) {
        if (cause instanceof StoreStatusException exception && exception.historyCompacted()) {
            LOG.info("event=history_gone prefix={} revision={}", prefix, revision);
            revision = UNKNOWN_REVISION;
            scheduleNext(INITIAL_BACKOFF_MILLIS);
            return;
        }
        if (consecutiveFailures == 0) {
            LOG.warn("event=store_lost prefix={} revision={} cause=\"{}\"", prefix, revision, cause.getMessage());
        }
        // What is too large, or too slow on this link, is so again when the same changes are requested, whereas a full
        // read returns each item once.
        if (cause instanceof UnusableResponseException || cause instanceof DecodeException || consecutiveFailures > 0) {
            revision = UNKNOWN_REVISION;
        }
        long backoffMillis =
                Math.min(MAXIMUM_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, 3));
        consecutiveFailures++;
        scheduleNext(backoffMillis);
    }

    /** Schedules the next request, unless a restore of the store makes another one due before. */
    private void scheduleNext(long delayMillis) {
        long request = currentRequest;
        loop.schedule(
                () -> {
                    if (request == currentRequest) {
                        start();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }
}
