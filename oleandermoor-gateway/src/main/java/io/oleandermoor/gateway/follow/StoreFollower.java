package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Timestamp;
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
    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long LONGEST_PAUSE_MILLIS = 800;

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final Pace pace;
    private final Listener listener;
    private long revision = -1;
    private long failures;
    private long listedMillis;

    /**
     * How often the store is asked.
     *
     * @param waitMillis the longest wait of one watch
     * @param gapMillis the time between an answer and the next watch, in which changes gather
     * @param listMillis the time after which everything is read again; changes may be missed while history is dropped
     */
    public record Pace(long waitMillis, LongSupplier gapMillis, long listMillis) {}

    /** Receives the items. */
    public interface Listener {

        /**
         * Everything under the prefix has been read; items that are not listed are gone.
         *
         * @param reading the items
         * @param current a moment at which they were the newest ones
         */
        void all(StoreReading reading, Timestamp current);

        /**
         * Changes have come, or none within the wait.
         *
         * @param reading the changes
         * @param current a moment at which nothing newer was there
         */
        void changes(StoreReading reading, Timestamp current);
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
    public StoreFollower(EventLoop loop, StoreClient store, String prefix, Pace pace, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.pace = pace;
        this.listener = listener;
    }

    /** Starts to follow. */
    public void start() {
        Timestamp asked = Timestamp.now();
        boolean due = asked.monotonicMillis() - listedMillis >= pace.listMillis();
        if (revision < 0 || due) {
            listedMillis = asked.monotonicMillis();
            store.list(prefix).subscribe(reading -> listed(reading, asked), this::failed);
        } else {
            store.watch(prefix, revision, pace.waitMillis())
                    .subscribe(reading -> changed(reading, asked), this::failed);
        }
    }

    private void listed(StoreReading reading, Timestamp asked) {
        regained();
        revision = reading.storeRevision();
        listener.all(reading, asked);
        next(0);
    }

    private void changed(StoreReading reading, Timestamp asked) {
        regained();
        // Only what was received counts as seen: a store that loses its history answers a watch from before the loss
        // with 410, while a watch that went on from its present revision would miss what it did not report.
        for (StoreItem item : reading.items()) {
            revision = Math.max(revision, item.revision());
        }
        listener.changes(reading, current(reading, asked));
        next(pace.gapMillis().getAsLong());
    }

    /** A watch that waited its whole time without a change tells that none came in that time. */
    private Timestamp current(StoreReading reading, Timestamp asked) {
        long elapsed = Timestamp.monotonicNowMillis() - asked.monotonicMillis();
        boolean waited = reading.items().isEmpty() && elapsed >= pace.waitMillis();
        return waited ? asked.plus(pace.waitMillis()) : asked;
    }

    private void regained() {
        if (failures > 0) {
            LOG.info("event=store_regained prefix={} failures={}", prefix, failures);
        }
        failures = 0;
    }

    private void failed(Throwable cause) {
        if (cause instanceof StoreException answer && answer.historyGone()) {
            LOG.info("event=history_gone prefix={} revision={}", prefix, revision);
            revision = -1;
            next(FIRST_PAUSE_MILLIS);
            return;
        }
        if (failures == 0) {
            LOG.warn("event=store_lost prefix={} revision={} cause=\"{}\"", prefix, revision, cause.getMessage());
        }
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 3));
        failures++;
        next(pause);
    }

    private void next(long delayMillis) {
        loop.schedule(this::start, delayMillis, TimeUnit.MILLISECONDS);
    }
}
