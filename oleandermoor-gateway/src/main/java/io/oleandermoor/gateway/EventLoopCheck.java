package io.oleandermoor.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects that the event loop has ended, for example because of an error of its thread, or runs no tasks any more. The
 * ports of such a process stay open although nothing serves them.
 */
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

    /** Starts a thread that checks periodically and runs an action once if the event loop no longer runs. */
    void start(Runnable action) {
        Thread thread = new Thread(() -> checkUntilFailure(action), "event-loop-check");
        thread.setDaemon(true);
        thread.start();
    }

    private void checkUntilFailure(Runnable action) {
        try {
            while (isRunning()) {
                Thread.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        }
        LOG.error("event=event_loop_stopped ended={} missed_checks={}", loop.isShuttingDown(), missedChecks);
        action.run();
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
