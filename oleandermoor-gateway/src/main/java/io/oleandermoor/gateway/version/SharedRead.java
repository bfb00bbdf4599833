package io.oleandermoor.gateway.version;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Timestamp;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Shares reads of the store among callers. Each of them gets the outcome of a read that began after its call, because
 * an earlier one may lack what was written in between. Used on the event loop only.
 */
// Reads complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
final class SharedRead {

    private final EventLoop loop;
    private final LongSupplier intervalMillis;
    private final Supplier<Completable> read;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean underWay;
    private long nextStartMillis = Timestamp.monotonicNowMillis();

    /**
     * Creates a read that nobody waits for.
     *
     * @param loop the event loop
     * @param intervalMillis the minimum time between the starts of two reads
     * @param read reads once
     */
    SharedRead(EventLoop loop, LongSupplier intervalMillis, Supplier<Completable> read) {
        this.loop = loop;
        this.intervalMillis = intervalMillis;
        this.read = read;
    }

    /** Returns whether a read that begins from now on succeeds; signals no errors. */
    Single<Boolean> request() {
        return Single.create(emitter -> {
            waiting.add(emitter::onSuccess);
            startIfNeeded();
        });
    }

    private void startIfNeeded() {
        if (underWay || waiting.isEmpty()) {
            return;
        }
        underWay = true;
        long delayMillis = nextStartMillis - Timestamp.monotonicNowMillis();
        if (delayMillis <= 0) {
            start();
        } else {
            loop.schedule(this::start, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void start() {
        nextStartMillis = Timestamp.monotonicNowMillis() + intervalMillis.getAsLong();
        List<Consumer<Boolean>> served = List.copyOf(waiting);
        waiting.clear();
        read.get().toSingleDefault(true).onErrorReturnItem(false).subscribe(succeeded -> {
            underWay = false;
            served.forEach(caller -> caller.accept(succeeded));
            startIfNeeded();
        });
    }
}
