package io.oleandermoor.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreLease;
import io.oleandermoor.transport.settings.Address;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderLeaseRestoreTest {

    private static final String HOLDER_KEY = "oleandermoor/orders/holder";
    private static final String LAST_KEY = "oleandermoor/orders/last";
    /** Longer than a holder stays valid by its own clock. */
    private static final long HOLDER_GAP_MILLIS = 2_500;

    private static final Duration LEASE = Duration.ofSeconds(2);

    private static final long TOKENS_OF_ERA = 1L << 40;
    /** Longer than the delays of an acquisition, shorter than the gap. */
    private static final Duration ACQUISITION = Duration.ofMillis(1_500);

    private static final Duration LIMIT = Duration.ofSeconds(12);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private StoreStandIn store;

    @BeforeEach
    void start() throws Exception {
        store = new StoreStandIn();
        store.setEra(1);
        store.takeCopy();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }

    private StoreClient client() {
        return new StoreClient(loop, Address.parse(store.address()).toSocketAddress(), 5_000);
    }

    private <T> T onLoop(Single<T> call) {
        return call.subscribeOn(Schedulers.from(loop)).blockingGet();
    }

    private OrderLease startLease(String entry) throws Exception {
        OrderLease lease = new OrderLease(loop, client(), entry, HOLDER_GAP_MILLIS, 0);
        loop.submit(lease::start).sync();
        return lease;
    }

    private boolean holds(OrderLease lease) throws Exception {
        return loop.submit(lease::holdsLease).get();
    }

    private boolean mayGiveOrders(OrderLease lease) throws Exception {
        return loop.submit(lease::mayGiveOrders).get();
    }

    private long token(OrderLease lease) throws Exception {
        return loop.submit(lease::fencingToken).get();
    }

    private OrderLease startHolder(String entry) throws Exception {
        OrderLease lease = startLease(entry);
        await().atMost(LIMIT).until(() -> holds(lease));
        return lease;
    }

    private void awaitOrders(OrderLease lease) {
        await().atMost(LIMIT).until(() -> mayGiveOrders(lease));
    }

    @Nested
    class FirstStart {

        /** Guards against two holders: the store does not tell a new deployment from a record that was removed. */
        @Test
        void givesOrdersOnceNoUnknownHolderCan() throws Exception {
            OrderLease lease = startHolder("one");
            assertThat(mayGiveOrders(lease)).isFalse();
            assertThat(store.value(LAST_KEY)).isEmpty();
            awaitOrders(lease);
            assertThat(store.value(LAST_KEY)).isEqualTo("one 1");
            assertThat(token(lease)).isBetween(TOKENS_OF_ERA, 2 * TOKENS_OF_ERA);
        }
    }

    @Nested
    class HolderAtRestore {

        /** Guards against two holders: the right must end and its successor wait, also if it is the same entry. */
        @Test
        void losesTheRightAndWaitsWithAHigherToken() throws Exception {
            OrderLease lease = startHolder("one");
            long token = token(lease);
            store.restore();
            await().atMost(LIMIT).until(() -> !mayGiveOrders(lease));
            await().atMost(LIMIT).until(() -> holds(lease) && token(lease) > token);
            long takenNanos = System.nanoTime();
            assertThat(mayGiveOrders(lease)).isFalse();
            awaitOrders(lease);
            assertThat(System.nanoTime() - takenNanos)
                    .isGreaterThan(Duration.ofMillis(HOLDER_GAP_MILLIS - 600).toNanos());
            await().atMost(LIMIT).until(() -> store.value(LAST_KEY).equals("one 2"));
        }

        /** Guards against a restart within the gap of the first holder of an era, after which it would not wait. */
        @Test
        void restartWithinTheGapWaitsAgain() throws Exception {
            store.restore();
            OrderLease first = startHolder("one");
            assertThat(store.value(LAST_KEY)).isEmpty();
            loop.submit(first::stop).sync();
            OrderLease second = startHolder("one");
            assertThat(mayGiveOrders(second)).isFalse();
        }

        @Test
        void twoRestoresWithinOneLeaseLeaveOneHolderWithTheHighestToken() throws Exception {
            OrderLease one = startHolder("one");
            OrderLease two = startLease("two");
            store.restore();
            store.restore();
            await().atMost(LIMIT)
                    .until(() ->
                            holds(one) ^ holds(two) && store.value(HOLDER_KEY).endsWith(" 3"));
            OrderLease holder = holds(one) ? one : two;
            assertThat(mayGiveOrders(holder)).isFalse();
            assertThat(token(holder)).isGreaterThan(3 * TOKENS_OF_ERA);
            awaitOrders(holder);
            assertThat(holds(one) && holds(two)).isFalse();
        }

        /** Guards against renewals of a lease whose identifier belongs to another entry now. */
        @Test
        void doesNotRenewALeaseWithItsOldIdentifier() throws Exception {
            OrderLease one = startHolder("one");
            long oldId = store.leaseOf(HOLDER_KEY);
            store.restore();
            StoreClient other = client();
            StoreLease reused = onLoop(other.grantLease(1_000));
            assertThat(reused.id()).isEqualTo(oldId);
            assertThat(onLoop(other.write(
                            reused.era(),
                            List.of(new StoreClient.ConditionalWrite("foreign", 0, new byte[] {1}, reused.id())))))
                    .isPositive();
            await().atMost(LIMIT).until(() -> holds(one));
            // A renewal that is in flight at the restore may prolong the lease once.
            await().atMost(Duration.ofSeconds(4))
                    .until(() -> store.value("foreign").isEmpty());
        }
    }

    @Nested
    class EntryStartedAfterRestore {

        /** Guards against orders beside a holder that is valid by its own clock and that the copy does not name. */
        @Test
        void waitsForAHolderThatTheCopyLacks() throws Exception {
            startHolder("one");
            store.restore();
            assertThat(store.value(LAST_KEY)).isEmpty();
            OrderLease two = startLease("two");
            await().during(ACQUISITION).atMost(LIMIT).until(() -> !mayGiveOrders(two));
        }

        /** Guards against orders at once because the copy names this entry as the last holder. */
        @Test
        void waitsAlthoughTheCopyNamesItAsTheLastHolder() throws Exception {
            OrderLease before = startHolder("two");
            store.takeCopy();
            loop.submit(before::stop).sync();
            startHolder("one");
            store.restore();
            OrderLease two = startLease("two");
            await().during(ACQUISITION).atMost(LIMIT).until(() -> !mayGiveOrders(two));
        }
    }

    @Nested
    class DelayedAcquisition {

        private void delayAcquisitionUntilAfterRestore() throws Exception {
            store.holdWrites(true);
            OrderLease old = startLease("old");
            await().atMost(LIMIT).until(() -> store.heldWrites() > 0);
            store.restore();
            loop.submit(old::stop).sync();
        }

        /** Guards against orders that stop for good: the write is bound to a lease that no longer exists. */
        @Test
        void doesNotBlockTheNextHolder() throws Exception {
            delayAcquisitionUntilAfterRestore();
            store.holdWrites(false);
            await().atMost(LIMIT).until(() -> store.value(HOLDER_KEY).equals("old 1"));
            OrderLease next = startHolder("next");
            assertThat(store.value(HOLDER_KEY)).isEqualTo("next 2");
            assertThat(mayGiveOrders(next)).isFalse();
        }

        /** Guards against two holders: the write replaces the holder, whose lease is still renewed. */
        @Test
        void endsTheRightOfTheHolderThatItReplaces() throws Exception {
            store.restore();
            OrderLease holder = startHolder("holder");
            awaitOrders(holder);
            store.put(HOLDER_KEY, "old 1");
            OrderLease next = startLease("next");
            await().atMost(Duration.ofMillis(HOLDER_GAP_MILLIS)).until(() -> !mayGiveOrders(holder));
            await().atMost(LIMIT).until(() -> holds(holder) ^ holds(next));
            assertThat(mayGiveOrders(holder) && mayGiveOrders(next)).isFalse();
        }

        /** Guards against two holders: the one that is replaced may not hear of it before its lease is over. */
        @Test
        void makesTheNextHolderWaitForTheLeaseOfTheOneThatItReplaces() throws Exception {
            store.restore();
            OrderLease replaced = startHolder("replaced");
            awaitOrders(replaced);
            store.put(HOLDER_KEY, "old 1");
            long replacedNanos = System.nanoTime();
            loop.submit(replaced::stop).sync();
            awaitOrders(startLease("next"));
            assertThat(Duration.ofNanos(System.nanoTime() - replacedNanos))
                    .isGreaterThanOrEqualTo(LEASE.plusMillis(HOLDER_GAP_MILLIS));
        }
    }

    @Nested
    class AnswersWithoutEra {

        /** Guards against the loss of the right whenever an answer lacks the header. */
        @Test
        void keepTheRight() throws Exception {
            OrderLease lease = startHolder("one");
            long token = token(lease);
            store.omitEra(true);
            await().during(ACQUISITION).atMost(LIMIT).until(() -> mayGiveOrders(lease));
            store.omitEra(false);
            await().during(ACQUISITION).atMost(LIMIT).until(() -> mayGiveOrders(lease));
            assertThat(token(lease)).isEqualTo(token);
        }
    }

    @Nested
    class HolderOfPreviousVersion {

        /** Guards against a second holder beside an entry that writes its name without an era. */
        @Test
        void isNotReplaced() throws Exception {
            store.put(HOLDER_KEY, "previous");
            OrderLease lease = startLease("one");
            await().during(ACQUISITION).atMost(LIMIT).until(() -> !holds(lease));
            store.remove(HOLDER_KEY);
            await().atMost(LIMIT).until(() -> holds(lease));
        }
    }
}
