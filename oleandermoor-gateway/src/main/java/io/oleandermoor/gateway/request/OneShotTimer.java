package io.oleandermoor.gateway.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A timer that runs a task once unless it is cancelled before. Used on the event loop only. */
final class OneShotTimer {

    private @Nullable ScheduledFuture<?> scheduled;

    /** Schedules a task, which replaces an earlier one that has not run. */
    void schedule(EventLoop loop, Runnable task, long delayMillis) {
        cancel();
        scheduled = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }
}
