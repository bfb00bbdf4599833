package io.oleandermoor.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.follow.FleetFollower;
import io.oleandermoor.gateway.follow.EntryMembership;
import io.oleandermoor.gateway.order.PlacementController;
import io.oleandermoor.gateway.order.OrderLease;
import io.oleandermoor.gateway.peer.PeerExchange;
import io.oleandermoor.gateway.request.FrontServer;
import io.oleandermoor.gateway.request.ReadyServer;
import io.oleandermoor.gateway.request.RequestDesk;
import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.view.FleetView;
import io.oleandermoor.gateway.view.Moment;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.transport.settings.Settings;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** An entry on the platform: all its parts, on one event loop. */
// Calls end by themselves with an answer or a time-out, and tasks run until the loop ends: neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class Gateway {

    private static final Logger LOG = LogManager.getLogger(Gateway.class);
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    /** An engine answers an order at once; a lost packet is sent again within this time. */
    private static final long ORDER_TIMEOUT_MILLIS = 400;
    /**
     * Keys are refused this long before a revocation must be in force: a watch hears nothing while history is dropped.
     */
    private static final long KEY_MARGIN_MILLIS = 1_300;
    /** A machine without a confirmed configuration leaves the load balancer before it has to refuse. */
    private static final double READY_SHARE = 0.75;

    /** Time for which a machine with hardly any processor time leaves the duty of giving orders to others. */
    private static final long LARGEST_HANDICAP_MILLIS = 500;

    private static final long POOL_SWEEP_MILLIS = 1_000;
    /** The load balancer asks each second and takes a machine out after two misses. */
    private static final long LOAD_BALANCER_MILLIS = 2_500;
    /** Part of the grace after which what still runs is broken off. */
    private static final double STOP_SHARE = 0.95;

    private static final long STOP_CHECK_MILLIS = 50;

    private final Settings settings;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final FleetView view;
    private final UpstreamPool pool = new UpstreamPool(loop);
    private final RequestDesk desk;
    private final FrontServer front;
    private final EntryMembership membership;
    private final OrderLease lease;
    private final PlacementController orders;
    private final PeerExchange exchange;
    private final StoreClient store;
    private final CountDownLatch ended = new CountDownLatch(1);
    private boolean wasReady;

    /**
     * Creates an entry that has not started.
     *
     * @param settings its settings
     */
    public Gateway(Settings settings) {
        this.settings = settings;
        String name = settings.get(GatewaySettings.NAME);
        view = new FleetView(name, new InstanceTable(settings.get(GatewaySettings.FAILURE_DOMAIN), System.nanoTime()));
        store = new StoreClient(
                loop, settings.get(GatewaySettings.STORE_ADDRESS).toSocketAddress(), STORE_TIMEOUT_MILLIS);
        desk = new RequestDesk(
                loop,
                view,
                pool,
                new RequestDesk.Rules(
                        keyLimitMillis(),
                        settings.get(GatewaySettings.RETRY_RATIO),
                        settings.get(GatewaySettings.RETRY_FIXED),
                        settings.get(GatewaySettings.RETRY_WINDOW).toMillis()));
        front = new FrontServer(loop, desk);
        DemandTracker demands = new DemandTracker();
        membership = new EntryMembership(loop, store, view, settings.get(GatewaySettings.PEER_ADDRESS));
        exchange = new PeerExchange(loop, view, demands, membership::peers, desk::demand);
        lease = new OrderLease(
                loop, store, name, settings.get(GatewaySettings.HOLDER_GAP).toMillis(), orderHandicapMillis());
        orders = new PlacementController(
                loop,
                view,
                demands,
                lease,
                new EngineClient(loop, ORDER_TIMEOUT_MILLIS),
                exchange,
                settings.get(GatewaySettings.PLACEMENT));
    }

    /** Returns the time for which this machine leaves the duty of giving orders to machines with more cores. */
    private long orderHandicapMillis() {
        double cores = settings.get(GatewaySettings.CORES) * settings.get(GatewaySettings.CORE_SHARE);
        return (long) (LARGEST_HANDICAP_MILLIS * Math.max(0, 1 - cores));
    }

    private long keyLimitMillis() {
        return settings.get(GatewaySettings.REVOCATION).toMillis() - KEY_MARGIN_MILLIS;
    }

    /** Starts all parts. */
    public void start() {
        loop.submit(this::startOnLoop).syncUninterruptibly();
    }

    private void startOnLoop() {
        LOG.info("event=start entry={}", view.entry());
        FleetFollower.start(
                loop, store, view, settings.get(GatewaySettings.DRAIN).toMillis());
        membership.start();
        desk.start();
        desk.onShortage(exchange::reportSoon);
        lease.start();
        orders.start();
        loop.scheduleAtFixedRate(this::sweepPool, POOL_SWEEP_MILLIS, POOL_SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Listens; not on the event loop, which completes the binding. */
    public void listen() {
        exchange.start(settings.get(GatewaySettings.PEER_ADDRESS).toSocketAddress());
        ReadyServer.start(loop, settings.get(GatewaySettings.READY_ADDRESS).toSocketAddress(), this::ready);
        front.start(settings.get(GatewaySettings.CALLER_ADDRESS).toSocketAddress());
    }

    private boolean ready() {
        boolean ready = !view.isStopping() && view.canServe((long) (keyLimitMillis() * READY_SHARE));
        if (ready != wasReady) {
            LOG.info("event=ready ready={} confirmation_age_ms={}", ready, view.confirmationAgeMillis());
            wasReady = ready;
        }
        return ready;
    }

    private void sweepPool() {
        Set<String> known = new HashSet<>();
        view.instances().states().forEach(state -> known.add(state.instance().id()));
        pool.retainInstances(known);
    }

    /** Stops gracefully and returns when no request is left or the grace is over. */
    public void stop() {
        loop.execute(this::stopOnLoop);
        try {
            ended.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void stopOnLoop() {
        LOG.info("event=stop entry={} open={}", view.entry(), desk.open());
        view.stop();
        lease.stop();
        desk.stopping();
        long grace = settings.get(GatewaySettings.GRACE).toMillis();
        long end = Moment.steadyNow() + (long) (grace * STOP_SHARE);
        loop.schedule(() -> finish(end), LOAD_BALANCER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void finish(long endMillis) {
        front.stopListening();
        front.closeIdle();
        boolean over = Moment.steadyNow() >= endMillis;
        if ((desk.open() > 0 || front.receiving()) && !over) {
            loop.schedule(() -> finish(endMillis), STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        LOG.info("event=stopped entry={} open={}", view.entry(), desk.open());
        front.closeAll();
        membership.leave().subscribe(left -> ended.countDown(), cause -> {
            LOG.warn("event=leave_failed entry={} cause=\"{}\"", view.entry(), cause.getMessage());
            ended.countDown();
        });
    }
}
