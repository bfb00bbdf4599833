package io.oleandermoor.gateway.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.transport.settings.Address;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OrderLeaseTest {

    private static final String HOLDER_KEY = "oleandermoor/orders/holder";
    private static final long HOLDER_GAP_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private StoreStandIn store;

    @BeforeEach
    void start() throws Exception {
        store = new StoreStandIn();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }

    private OrderLease lease(String entry) {
        return lease(entry, 0);
    }

    private OrderLease lease(String entry, long acquisitionDelayMillis) {
        StoreClient client =
                new StoreClient(loop, Address.parse(store.address()).toSocketAddress(), TIMEOUT_MILLIS);
        return new OrderLease(loop, client, entry, HOLDER_GAP_MILLIS, acquisitionDelayMillis);
    }

    private boolean holds(OrderLease lease) throws Exception {
        return loop.submit(lease::holdsLease).get();
    }

    @Test
    void acquiresLeaseThatNobodyHolds() throws Exception {
        OrderLease lease = lease("one");
        loop.submit(lease::start).sync();
        await().atMost(Duration.ofSeconds(10)).until(() -> holds(lease));
        assertThat(store.value(HOLDER_KEY)).isEqualTo("one");
    }

    /** Guards against a holder on a machine with little CPU capacity while machines with more are available. */
    @Test
    void entryWithAcquisitionDelayLeavesLeaseToOthers() throws Exception {
        OrderLease small = lease("small", 2_000);
        OrderLease large = lease("large");
        loop.submit(() -> {
                    small.start();
                    large.start();
                })
                .sync();
        await().atMost(Duration.ofSeconds(10)).until(() -> holds(large));
        await().during(Duration.ofSeconds(3))
                .atMost(Duration.ofSeconds(5))
                .until(() -> store.value(HOLDER_KEY).equals("large"));
    }

    /** Guards against two holders: an acquisition must not use watch events that arrive while it is in progress. */
    @Test
    void doesNotOverwriteHolderThatAppearsDuringAcquisition() throws Exception {
        store.setLeaseDelay(800);
        OrderLease lease = lease("one");
        loop.submit(lease::start).sync();
        await().atMost(Duration.ofSeconds(10)).until(() -> store.leaseRequests() > 0);
        store.put(HOLDER_KEY, "two");
        await().during(Duration.ofSeconds(2)).atMost(Duration.ofSeconds(4)).untilAsserted(() -> {
            assertThat(store.value(HOLDER_KEY)).isEqualTo("two");
            assertThat(holds(lease)).isFalse();
        });
    }
}
