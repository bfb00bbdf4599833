package io.oleandermoor.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

@SuppressWarnings("FutureReturnValueIgnored") // Tasks of the loop end with it.
class EventLoopCheckTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final EventLoopCheck check = new EventLoopCheck(loop);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Guards against a process that keeps its ports open after the thread of its event loop has ended. */
    @Test
    void endedLoopIsDetected() {
        CountDownLatch detected = new CountDownLatch(1);
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        check.start(detected::countDown);
        await().until(() -> detected.getCount() == 0);
    }

    /** Guards against ending a process whose event loop was only busy for some time. */
    @Test
    void busyLoopIsDetectedAfterTheLastCheckOnly() throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> awaitQuietly(release));
        assertThat(check.isRunning()).isTrue();
        for (int missed = 1; missed < EventLoopCheck.MAXIMUM_MISSED_CHECKS; missed++) {
            assertThat(check.isRunning()).isTrue();
        }
        assertThat(check.isRunning()).isFalse();
        release.countDown();
        loop.submit(() -> {}).await();
        assertThat(check.isRunning()).isTrue();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
