package io.oleandermoor.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReading;
import io.oleandermoor.transport.settings.Address;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreFollowerTest {

    private static final long WAIT_MILLIS = 200;
    /** Longer than each test, so that nothing is learned by reading everything again. */
    private static final long LIST_MILLIS = 600_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Recorder recorder = new Recorder();
    private StoreStandIn store;

    @BeforeEach
    void start() throws Exception {
        store = new StoreStandIn();
        store.put("a/1", "first");
        StoreClient client =
                new StoreClient(loop, Address.parse(store.address()).toSocketAddress(), 5_000);
        StoreFollower.Pace pace = new StoreFollower.Pace(WAIT_MILLIS, () -> 0, LIST_MILLIS);
        StoreFollower follower = new StoreFollower(loop, client, "a/", pace, recorder);
        loop.submit(follower::start).sync();
        awaitValue("first");
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }

    private void awaitValue(String value) {
        await().atMost(Duration.ofSeconds(10)).until(() -> recorder.values.contains(value));
    }

    /** Guards against a change that nobody hears of: watches may report nothing before the history is dropped. */
    @Test
    void learnsOfAChangeThatTheWatchDidNotReportBeforeHistoryWasLost() {
        store.deaf(true);
        store.put("a/1", "unheard");
        int before = recorder.empty.size();
        await().atMost(Duration.ofSeconds(10)).until(() -> recorder.empty.size() > before + 2);
        store.forgetHistory();
        store.deaf(false);
        awaitValue("unheard");
    }

    /** Guards against beliefs that count as older than they are, for which the store is asked twice as often. */
    @Test
    void aWatchWithoutAChangeConfirmsTheEndOfItsWait() {
        await().atMost(Duration.ofSeconds(10)).until(() -> recorder.empty.size() > 3);
        assertThat(recorder.empty).allSatisfy(wait -> assertThat(wait).isGreaterThanOrEqualTo(WAIT_MILLIS));
    }

    /**
     * Notes all values, and for each watch without a change how long after the answer before it that watch confirms.
     */
    private static final class Recorder implements StoreFollower.Listener {

        private final Set<String> values = new ConcurrentSkipListSet<>();
        private final List<Long> empty = new CopyOnWriteArrayList<>();
        private long receivedMillis = Timestamp.monotonicNowMillis();

        @Override
        public void all(StoreReading reading, Timestamp current) {
            changes(reading, current);
        }

        @Override
        public void changes(StoreReading reading, Timestamp current) {
            if (reading.items().isEmpty()) {
                empty.add(current.monotonicMillis() - receivedMillis);
            }
            receivedMillis = Timestamp.monotonicNowMillis();
            for (StoreItem item : reading.items()) {
                values.add(new String(item.value(), StandardCharsets.UTF_8));
            }
        }
    }
}
