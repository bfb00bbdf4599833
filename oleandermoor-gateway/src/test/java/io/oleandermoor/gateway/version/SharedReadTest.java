package io.oleandermoor.gateway.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.view.Timestamp;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SharedReadTest {

    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final long INTERVAL_MILLIS = 200;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final List<CompletableSubject> reads = new CopyOnWriteArrayList<>();
    private final List<Long> readMillis = new CopyOnWriteArrayList<>();
    private final SharedRead read = new SharedRead(loop, () -> INTERVAL_MILLIS, () -> {
        readMillis.add(Timestamp.monotonicNowMillis());
        CompletableSubject started = CompletableSubject.create();
        reads.add(started);
        return started;
    });

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Future<Boolean> request() throws Exception {
        return loop.submit(() -> read.request().toFuture()).get();
    }

    private static boolean result(Future<Boolean> requested) throws Exception {
        return requested.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
    }

    private void awaitReads(int count) {
        await().atMost(LIMIT).until(() -> reads.size() == count);
    }

    /** Guards against an answer from a read that began before it was asked for. */
    @Test
    void requestDuringAReadWaitsForTheNextOne() throws Exception {
        Future<Boolean> first = request();
        awaitReads(1);
        Future<Boolean> second = request();
        loop.submit(reads.get(0)::onComplete).sync();
        assertThat(result(first)).isTrue();
        awaitReads(2);
        assertThat(second.isDone()).isFalse();
        loop.submit(reads.get(1)::onComplete).sync();
        assertThat(result(second)).isTrue();
    }

    @Test
    void requestsOfAnIntervalShareARead() throws Exception {
        long startMillis = Timestamp.monotonicNowMillis();
        Future<Boolean> first = request();
        awaitReads(1);
        Future<Boolean> second = request();
        Future<Boolean> third = request();
        loop.submit(reads.get(0)::onComplete).sync();
        assertThat(result(first)).isTrue();
        awaitReads(2);
        assertThat(readMillis.get(1) - startMillis).isGreaterThanOrEqualTo(INTERVAL_MILLIS);
        loop.submit(reads.get(1)::onComplete).sync();
        assertThat(result(second)).isTrue();
        assertThat(result(third)).isTrue();
        assertThat(reads).hasSize(2);
    }

    @Test
    void failureIsTold() throws Exception {
        Future<Boolean> failed = request();
        awaitReads(1);
        loop.submit(() -> reads.get(0).onError(new IllegalStateException("refused")))
                .sync();
        assertThat(result(failed)).isFalse();
    }
}
