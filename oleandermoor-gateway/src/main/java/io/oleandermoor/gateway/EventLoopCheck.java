package io.oleandermoor.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects that the event loop has ended, for example because of an error of its thread, or runs no tasks any more. The
 * ports of such a process stay open although nothing serves them.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The checks go on until the process ends.
final class EventLoopCheck {

    /** Time between two checks. */
    static final long INTERVAL_MILLIS = 1_000;
    /**
     * Checks without progress, after which the loop does not recover. Chunks of one byte on many connections kept the
     * loop busy for over half a minute on a full core. Checks that a frozen process omits do not count.
     */
    static final int MAXIMUM_MISSED_CHECKS = 600;

    private static final Logger LOG = LogManager.getLogger(EventLoopCheck.class);

    private final EventLoop loop;
    private volatile boolean taskDone = true;
    private int missedChecks;

    EventLoopCheck(EventLoop loop) {
        this.loop = loop;
    }

    /** Checks periodically, on a thread of its own, and runs an action once if the event loop no longer runs. */
    void start(Runnable action) {
        ScheduledExecutorService checker = Executors.newSingleThreadScheduledExecutor(EventLoopCheck::newThread);
        checker.scheduleWithFixedDelay(
                () -> checkOnce(checker, action), INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "event-loop-check");
        thread.setDaemon(true);
        return thread;
    }

    private void checkOnce(ExecutorService checker, Runnable action) {
        if (!isRunning()) {
            checker.shutdown();
            LOG.error("event=event_loop_stopped ended={} missed_checks={}", loop.isShuttingDown(), missedChecks);
            action.run();
        }
    }

    /** Returns whether the event loop has run a task since one of the last checks. */
    boolean isRunning() {
        if (loop.isShuttingDown()) {
            return false;
        }
        if (!taskDone) {
            missedChecks++;
            return missedChecks < MAXIMUM_MISSED_CHECKS;
        }
        missedChecks = 0;
        taskDone = false;
        try {
            loop.execute(() -> taskDone = true);
        } catch (RejectedExecutionException exception) {
            return false;
        }
        return true;
    }
}
