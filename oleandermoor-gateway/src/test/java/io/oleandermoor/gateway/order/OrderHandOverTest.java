package io.oleandermoor.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.transport.settings.Address;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderHandOverTest {

    private static final String HOLDER_KEY = "oleandermoor/orders/holder";
    private static final String LAST_KEY = "oleandermoor/orders/last";
    private static final Duration GAP = Duration.ofMillis(2_500);
    private static final Duration LIMIT = Duration.ofSeconds(20);
    /** The time for which an order can be on its way. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(400);

    private final List<Process> processes = new ArrayList<>();
    private StoreStandIn store;

    @BeforeEach
    void startStore() throws Exception {
        store = new StoreStandIn();
    }

    @AfterEach
    void stopAll() {
        processes.forEach(Process::kill);
        store.close();
    }

    private Process start(String entry) throws Exception {
        Process process = new Process(entry);
        processes.add(process);
        process.group.next().submit(process.lease::start).sync();
        return process;
    }

    private Process startWithOrders(String entry) throws Exception {
        Process process = start(entry);
        process.awaitOrders();
        return process;
    }

    /** A process of an entry, which can end at any time. */
    private final class Process {

        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final OrderLease lease;

        Process(String entry) {
            StoreClient client =
                    new StoreClient(group.next(), Address.parse(store.address()).toSocketAddress(), 1_000);
            lease = new OrderLease(group.next(), client, entry, GAP.toMillis(), 0);
        }

        void awaitHolder() {
            await().atMost(LIMIT)
                    .until(() -> group.next().submit(lease::holdsLease).get());
        }

        boolean mayGiveOrders() throws Exception {
            return group.next().submit(lease::mayGiveOrders).get();
        }

        void awaitOrders() {
            await().pollInterval(Duration.ofMillis(10)).atMost(LIMIT).until(this::mayGiveOrders);
        }

        void giveOrder() throws Exception {
            assertThat(group.next()
                            .submit(() -> lease.permitsOrder(lease.fencingToken()))
                            .get())
                    .isTrue();
        }

        /** Gives an order and stops, as at a SIGTERM. Returns the time of the order. */
        long giveLastOrderAndStop() throws Exception {
            giveOrder();
            long orderedNanos = System.nanoTime();
            stop();
            return orderedNanos;
        }

        void stop() throws InterruptedException {
            group.next().submit(lease::stop).sync();
        }

        void kill() {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private void awaitRelease() {
        await().pollInterval(Duration.ofMillis(5))
                .atMost(LIMIT)
                .until(() -> store.value(HOLDER_KEY).isEmpty());
    }

    private static void assertGapSince(long lastOrderNanos) {
        assertThat(Duration.ofNanos(System.nanoTime() - lastOrderNanos)).isGreaterThanOrEqualTo(GAP);
    }

    @Nested
    class Successor {

        @Test
        void thatWasKilledInItsGapWaitsAgain() throws Exception {
            long lastOrder = startWithOrders("one").giveLastOrderAndStop();
            Process two = start("two");
            two.awaitHolder();
            two.kill();
            startWithOrders("two");
            assertGapSince(lastOrder);
        }

        @Test
        void whoseAcquisitionGotNoAnswerWaits() throws Exception {
            Process one = startWithOrders("one");
            store.loseNextWriteAnswer();
            long lastOrder = one.giveLastOrderAndStop();
            startWithOrders("two");
            assertGapSince(lastOrder);
        }

        @Test
        void thatFindsNoRecordWaits() throws Exception {
            Process one = startWithOrders("one");
            long lastOrder = System.nanoTime();
            one.kill();
            store.remove(HOLDER_KEY);
            store.remove(LAST_KEY);
            startWithOrders("two");
            assertGapSince(lastOrder);
        }

        @Test
        void thatGaveTheLastOrdersGoesOnAtOnce() throws Exception {
            Process one = startWithOrders("one");
            one.kill();
            long killed = System.nanoTime();
            startWithOrders("one");
            assertThat(Duration.ofNanos(System.nanoTime() - killed)).isLessThan(GAP);
        }

        @Test
        void onAnotherMachineWithTheSameNameIsAnotherHolder() throws Exception {
            try (EntryFixture machine = new EntryFixture()) {
                machine.awaitReady();
                await().atMost(LIMIT)
                        .until(() -> !machine.store().value(HOLDER_KEY).isEmpty());
                long lease = machine.store().leaseOf(HOLDER_KEY);
                try (EntryFixture other = machine.startPeer("entry-1")) {
                    assertThat(other.isReady()).isTrue();
                    await().during(Duration.ofSeconds(1))
                            .atMost(LIMIT)
                            .untilAsserted(() -> assertThat(machine.store().leaseOf(HOLDER_KEY))
                                    .isEqualTo(lease));
                }
            }
        }
    }

    @Nested
    class Stop {

        @Test
        void keepsTheLeaseWhileAnOrderIsOnItsWay() throws Exception {
            long lastOrder = startWithOrders("one").giveLastOrderAndStop();
            awaitRelease();
            assertThat(Duration.ofNanos(System.nanoTime() - lastOrder)).isGreaterThanOrEqualTo(ORDER_TIMEOUT);
        }

        /** Guards against orders within the gap: by a clock that was set forward, a recent order seems old. */
        @Test
        void keepsTheLeaseHoweverOldTheLastOrderSeems() throws Exception {
            Process one = startWithOrders("one");
            one.giveOrder();
            await().pollDelay(ORDER_TIMEOUT.plusMillis(50)).until(() -> true);
            one.stop();
            long stopped = System.nanoTime();
            awaitRelease();
            assertThat(Duration.ofNanos(System.nanoTime() - stopped)).isGreaterThanOrEqualTo(ORDER_TIMEOUT);
        }

        @Test
        void duringAnAcquisitionGivesTheRightBack() throws Exception {
            store.setLeaseDelay(800);
            Process one = start("one");
            await().atMost(LIMIT).until(() -> store.leaseRequests() > 0);
            one.stop();
            await().pollInterval(Duration.ofMillis(20))
                    .during(Duration.ofMillis(1_500))
                    .atMost(Duration.ofMillis(1_700))
                    .untilAsserted(() -> assertThat(one.mayGiveOrders()).isFalse());
            assertThat(store.value(HOLDER_KEY)).isEmpty();
        }
    }
}
