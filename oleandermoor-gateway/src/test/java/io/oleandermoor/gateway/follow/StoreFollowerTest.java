package io.oleandermoor.gateway.follow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.transport.settings.Address;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreFollowerTest {

    private static final long WATCH_TIMEOUT_MILLIS = 200;
    /** Longer than each test, so that no periodic full read delivers the change. */
    private static final long RELIST_INTERVAL_MILLIS = 600_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final RecordingListener listener = new RecordingListener();
    private StoreStandIn store;

    @BeforeEach
    void start() throws Exception {
        store = new StoreStandIn();
        store.put("a/1", "first");
        StoreClient client =
                new StoreClient(loop, Address.parse(store.address()).toSocketAddress(), 5_000);
        StoreFollower.WatchTiming timing =
                new StoreFollower.WatchTiming(WATCH_TIMEOUT_MILLIS, () -> 0, RELIST_INTERVAL_MILLIS);
        StoreFollower follower = new StoreFollower(loop, client, "a/", timing, listener);
        loop.submit(follower::start).sync();
        awaitValue("first");
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }

    private void awaitValue(String value) {
        await().atMost(Duration.ofSeconds(10)).until(() -> listener.values.contains(value));
    }

    /** Guards against a lost change: watches may not report a change before the store drops the history with it. */
    @Test
    void deliversUnreportedChangeAfterHistoryIsDropped() {
        store.suppressWatches(true);
        store.put("a/1", "unheard");
        int emptyWatches = listener.emptyWatchDelays.size();
        await().atMost(Duration.ofSeconds(10)).until(() -> listener.emptyWatchDelays.size() > emptyWatches + 2);
        store.dropHistory();
        store.suppressWatches(false);
        awaitValue("unheard");
    }

    /** Guards against a change that is lost until the next full read, because the listener failed to apply it once. */
    @Test
    void deliversItemsAgainAfterListenerFails() {
        store.put("a/2", RecordingListener.FAILING_VALUE);
        awaitValue(RecordingListener.FAILING_VALUE);
        assertThat(listener.failures).as("failed deliveries").hasValue(1);
    }

    /** Guards against a follower that stays behind, because it requests changes again that exceed what it can take. */
    @Test
    void readsAllItemsWhenChangesAreTooLarge() {
        store.setUnavailable(true);
        String large = "x".repeat(1 << 20);
        for (int change = 0; change < 5; change++) {
            store.put("a/1", large + change);
        }
        store.setUnavailable(false);
        awaitValue(large + 4);
    }

    /** Guards against a confirmed state that counts as older than it is, which doubles the requests to the store. */
    @Test
    void watchWithoutChangesConfirmsStateAtItsTimeout() {
        await().atMost(Duration.ofSeconds(10)).until(() -> listener.emptyWatchDelays.size() > 3);
        assertThat(listener.emptyWatchDelays)
                .allSatisfy(wait -> assertThat(wait).isGreaterThanOrEqualTo(WATCH_TIMEOUT_MILLIS));
    }

    /**
     * Records all values, and for each watch without changes the delay from the previous response to its confirmation.
     */
    private static final class RecordingListener implements StoreFollower.Listener {

        /** A value at whose first delivery the listener fails. */
        private static final String FAILING_VALUE = "failing";

        private final Set<String> values = new ConcurrentSkipListSet<>();
        private final AtomicInteger failures = new AtomicInteger();
        private final List<Long> emptyWatchDelays = new CopyOnWriteArrayList<>();
        private long receivedMillis = Timestamp.monotonicNowMillis();

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp confirmedAt) {
            onChanges(reading, confirmedAt);
        }

        @Override
        public void onChanges(StoreReadResult reading, Timestamp confirmedAt) {
            if (reading.items().isEmpty()) {
                emptyWatchDelays.add(confirmedAt.monotonicMillis() - receivedMillis);
            }
            receivedMillis = Timestamp.monotonicNowMillis();
            for (StoreItem item : reading.items()) {
                String value = new String(item.value(), StandardCharsets.UTF_8);
                if (value.equals(FAILING_VALUE) && failures.compareAndSet(0, 1)) {
                    throw new IllegalStateException("the first delivery fails");
                }
                values.add(value);
            }
        }
    }
}
