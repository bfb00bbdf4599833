package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreException;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReading;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps a copy of the items under one prefix: reads them all, then waits for changes, and reads them all again when
 * history is lost. Used on the event loop only.
 */
// Calls end by themselves with an answer or a time-out, and tasks run until the loop ends: neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class StoreFollower {

    private static final Logger LOG = LogManager.getLogger(StoreFollower.class);
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAXIMUM_BACKOFF_MILLIS = 800;

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final WatchTiming timing;
    private final Listener listener;
    private long revision = -1;
    private long consecutiveFailures;
    private long lastListMillis;

    /**
     * How often the store is asked.
     *
     * @param watchTimeoutMillis the longest wait of one watch
     * @param batchDelayMillis the time between an answer and the next watch, in which changes gather
     * @param relistIntervalMillis the time after which everything is read again; changes may be missed while history is
     *     dropped
     */
    public record WatchTiming(long watchTimeoutMillis, LongSupplier batchDelayMillis, long relistIntervalMillis) {}

    /** Receives the items. */
    public interface Listener {

        /**
         * Everything under the prefix has been read; items that are not listed are gone.
         *
         * @param reading the items
         * @param current a moment at which they were the newest ones
         */
        void onSnapshot(StoreReading reading, Moment current);

        /**
         * Changes have come, or none within the wait.
         *
         * @param reading the changes
         * @param current a moment at which nothing newer was there
         */
        void onChanges(StoreReading reading, Moment current);
    }

    /**
     * Creates a follower that has not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param prefix the start of the keys
     * @param pace how often the store is asked
     * @param listener receives the items
     */
    public StoreFollower(EventLoop loop, StoreClient store, String prefix, WatchTiming pace, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.timing = pace;
        this.listener = listener;
    }

    /** Starts to follow. */
    public void start() {
        Moment asked = Moment.now();
        boolean due = asked.steadyMillis() - lastListMillis >= timing.relistIntervalMillis();
        if (revision < 0 || due) {
            lastListMillis = asked.steadyMillis();
            store.list(prefix).subscribe(reading -> handleList(reading, asked), this::handleFailure);
        } else {
            store.watch(prefix, revision, timing.watchTimeoutMillis())
                    .subscribe(reading -> handleChanges(reading, asked), this::handleFailure);
        }
    }

    private void handleList(StoreReading reading, Moment asked) {
        resetFailures();
        revision = reading.storeRevision();
        listener.onSnapshot(reading, asked);
        scheduleNext(0);
    }

    private void handleChanges(StoreReading reading, Moment asked) {
        resetFailures();
        // Only what was received counts as seen: a store that loses its history answers a watch from before the loss
        // with 410, while a watch that went on from its present revision would miss what it did not report.
        for (StoreItem item : reading.items()) {
            revision = Math.max(revision, item.revision());
        }
        listener.onChanges(reading, confirmedAt(reading, asked));
        scheduleNext(timing.batchDelayMillis().getAsLong());
    }

    /** A watch that waited its whole time without a change tells that none came in that time. */
    private Moment confirmedAt(StoreReading reading, Moment asked) {
        long elapsed = Moment.steadyNow() - asked.steadyMillis();
        boolean waited = reading.items().isEmpty() && elapsed >= timing.watchTimeoutMillis();
        return waited ? asked.plus(timing.watchTimeoutMillis()) : asked;
    }

    private void resetFailures() {
        if (consecutiveFailures > 0) {
            LOG.info("event=store_regained prefix={} failures={}", prefix, consecutiveFailures);
        }
        consecutiveFailures = 0;
    }

    private void handleFailure(Throwable cause) {
        if (cause instanceof StoreException answer && answer.historyGone()) {
            LOG.info("event=history_gone prefix={} revision={}", prefix, revision);
            revision = -1;
            scheduleNext(INITIAL_BACKOFF_MILLIS);
            return;
        }
        if (consecutiveFailures == 0) {
            LOG.warn("event=store_lost prefix={} revision={} cause=\"{}\"", prefix, revision, cause.getMessage());
        }
        long pause = Math.min(MAXIMUM_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, 3));
        consecutiveFailures++;
        scheduleNext(pause);
    }

    private void scheduleNext(long delayMillis) {
        loop.schedule(this::start, delayMillis, TimeUnit.MILLISECONDS);
    }
}
