package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.transport.settings.Address;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A process of a machine that gives an order every 10 to 20 ms while it may, each planned one interval before. */
@SuppressWarnings("FutureReturnValueIgnored") // The tasks end with the event loop.
final class OrderingProcess {

    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final int MINIMUM_INTERVAL_MILLIS = 10;
    private static final int MAXIMUM_INTERVAL_MILLIS = 20;
    /** Orders that arrive within this time after their sender was suspended do not count. */
    private static final Duration THAW_SLACK = Duration.ofMillis(300);

    private final String machine;
    private final OrderHistory history;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final OrderLease lease;
    private final CountDownLatch killed = new CountDownLatch(1);
    private OptionalLong plannedToken = OptionalLong.empty();
    private long slackEndNanos = System.nanoTime();
    private volatile boolean ordering;
    private volatile boolean waiting;

    OrderingProcess(String machine, String store, Duration gap, OrderHistory history) {
        this.machine = machine;
        this.history = history;
        StoreClient client = new StoreClient(loop, Address.parse(store).toSocketAddress(), STORE_TIMEOUT_MILLIS);
        lease = new OrderLease(loop, client, machine, gap.toMillis(), 0);
    }

    void start() {
        loop.execute(lease::start);
        loop.execute(this::giveOrder);
    }

    /** Returns whether the process gave an order lately. */
    boolean isOrdering() {
        return ordering;
    }

    /** Returns whether the process holds the right but must not give orders yet. */
    boolean isWaiting() {
        return waiting;
    }

    private void giveOrder() {
        if (killed.getCount() == 0) {
            return;
        }
        if (plannedToken.isPresent() && lease.permitsOrder(plannedToken.getAsLong())) {
            if (System.nanoTime() - slackEndNanos >= 0) {
                history.add(machine, plannedToken.getAsLong());
            }
        }
        ordering = lease.mayGiveOrders();
        waiting = lease.holdsLease() && !ordering;
        plannedToken = ordering ? OptionalLong.of(lease.fencingToken()) : OptionalLong.empty();
        long delayMillis = ThreadLocalRandom.current().nextLong(MINIMUM_INTERVAL_MILLIS, MAXIMUM_INTERVAL_MILLIS + 1);
        loop.schedule(this::giveOrder, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops as at a SIGTERM; the process goes on until it is killed. */
    void stop() {
        loop.execute(lease::stop);
    }

    void suspend(Duration duration) {
        loop.execute(() -> {
            try {
                if (!killed.await(duration.toMillis(), TimeUnit.MILLISECONDS)) {
                    slackEndNanos = System.nanoTime() + THAW_SLACK.toNanos();
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
    }

    void kill() {
        killed.countDown();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
