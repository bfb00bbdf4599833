package io.oleandermoor.transport.worker;

import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Timers for requests: cheap to set and to cancel, with a resolution of {@value #TICK_MILLIS} ms. Tasks must be short;
 * they hand their work over to a worker. Safe for use by several threads.
 */
public final class Timers implements AutoCloseable {

    private static final long TICK_MILLIS = 10;

    private final HashedWheelTimer wheel =
            new HashedWheelTimer(new DefaultThreadFactory("timers", true), TICK_MILLIS, TimeUnit.MILLISECONDS);

    /** Creates the timers without starting a thread. */
    public Timers() {}

    /**
     * Runs a task later.
     *
     * @param delayMillis the delay in milliseconds
     * @param task the task
     * @return cancels the task if it has not started
     */
    public Runnable schedule(long delayMillis, Runnable task) {
        var timeout = wheel.newTimeout(fired -> task.run(), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return timeout::cancel;
    }

    @Override
    public void close() {
        wheel.stop();
    }
}
