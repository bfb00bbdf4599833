package io.oleandermoor.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.follow.EntryMembership;
import io.oleandermoor.gateway.follow.EvacuationListener;
import io.oleandermoor.gateway.follow.FleetFollower;
import io.oleandermoor.gateway.follow.RestoreObserver;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.order.OrderLease;
import io.oleandermoor.gateway.order.PlacementController;
import io.oleandermoor.gateway.peer.PeerExchange;
import io.oleandermoor.gateway.quarantine.QuarantineCoordinator;
import io.oleandermoor.gateway.quarantine.QuarantineStore;
import io.oleandermoor.gateway.request.CallerBounds;
import io.oleandermoor.gateway.request.CallerServer;
import io.oleandermoor.gateway.request.ReadinessServer;
import io.oleandermoor.gateway.request.RequestDispatcher;
import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.gateway.upstream.ColdStartLog;
import io.oleandermoor.gateway.upstream.NoticeRecorder;
import io.oleandermoor.gateway.upstream.UpstreamPool;
import io.oleandermoor.gateway.version.RunConfirmation;
import io.oleandermoor.gateway.version.StreamRecordStore;
import io.oleandermoor.gateway.version.StreamRecords;
import io.oleandermoor.gateway.version.VersionRegistry;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.ShutdownSchedule;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.state.coldstart.ColdStartBounds;
import io.oleandermoor.state.coldstart.ColdStarts;
import io.oleandermoor.state.dispatch.DispatchMechanism;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.VersionRule;
import io.oleandermoor.state.evacuation.EvacuationRule;
import io.oleandermoor.state.evacuation.EvacuationSchedule;
import io.oleandermoor.state.region.RegionRule;
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.state.residency.PlacementMechanism;
import io.oleandermoor.state.residency.PlacementOptions;
import io.oleandermoor.transport.settings.Settings;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** An entry on the platform. Creates and runs all of its components on one event loop. */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class Gateway {

    private static final Logger LOG = LogManager.getLogger(Gateway.class);
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    /** An engine responds to an order immediately; an order that may be on its way later would outlast the lease. */
    private static final long ORDER_TIMEOUT_MILLIS = OrderLease.ARRIVAL_MARGIN_MILLIS;
    /**
     * Margin by which the maximum key confirmation age is shorter than the time within which a revocation must take
     * effect. It covers the time in which a watch receives no changes because the store drops history.
     */
    private static final long REVOCATION_MARGIN_MILLIS = 1_300;
    /**
     * Fraction of the maximum key confirmation age above which this entry reports that it is not ready, so that the
     * load balancer removes it before it has to refuse requests.
     */
    private static final double READY_CONFIRMATION_AGE_RATIO = 0.75;

    /** Delay of the attempt to acquire the order lease on a machine with almost no processor time. */
    private static final long MAXIMUM_ORDER_LEASE_DELAY_MILLIS = 500;

    /** Part of the store's writes that may tell which software versions began streams. */
    private static final double STREAM_WRITES_RATIO = 0.2;

    private static final long MINIMUM_STREAM_PUBLICATION_MILLIS = 400;

    private static final long POOL_CLEANUP_INTERVAL_MILLIS = 1_000;
    /** Time until the load balancer removes this machine: it checks each second and requires two failed checks. */
    private static final long LOAD_BALANCER_REMOVAL_MILLIS = 2_500;
    /** Fraction of the grace period after which requests that still run are aborted. */
    private static final double STOP_GRACE_RATIO = 0.95;

    private static final long STOP_CHECK_INTERVAL_MILLIS = 50;

    private final Settings settings;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final DeploymentView view;
    private final UpstreamPool pool = new UpstreamPool(loop);
    private final RequestDispatcher dispatcher;
    private final CallerServer callerServer;
    private final EntryMembership membership;
    private final OrderLease orderLease;
    private final PlacementController placementController;
    private final PeerExchange peerExchange;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final QuarantineCoordinator quarantine = new QuarantineCoordinator(loop, metrics);
    private final StoreClient store;
    private final EvacuationSchedule evacuations;
    private final VersionRegistry versions;
    private final StreamRecords streams;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private boolean wasReady;

    /**
     * Creates an entry that is not started yet.
     *
     * @param settings the settings of this entry
     */
    public Gateway(Settings settings) {
        this.settings = settings;
        String entryName = settings.get(GatewaySettings.NAME);
        view = new DeploymentView(
                entryName,
                new InstanceTable(
                        settings.get(GatewaySettings.FAILURE_DOMAIN), System.nanoTime(), dispatchMechanisms()),
                coldStarts());
        evacuations =
                new EvacuationSchedule(settings.get(GatewaySettings.EVACUATION).toMillis());
        evacuations.setReadmissionListener(view.coldStarts()::domainReadmitted);
        view.instances().addRule(new EvacuationRule(evacuations));
        view.instances().addRule(new RegionRule(regions()));
        store = new StoreClient(
                loop, settings.get(GatewaySettings.STORE_ADDRESS).toSocketAddress(), STORE_TIMEOUT_MILLIS);
        RestoreObserver.start(store, view, metrics);
        versions = new VersionRegistry(loop, store, view);
        NoticeRecorder noticeRecorder = new NoticeRecorder(view, metrics);
        EngineClient engines = new EngineClient(loop, ORDER_TIMEOUT_MILLIS, noticeRecorder);
        RunConfirmation runConfirmation = new RunConfirmation(view, engines);
        view.instances().addRule(new VersionRule(versions.policy(), runConfirmation::request));
        streams = new StreamRecords(
                loop, versions, new StreamRecordStore(store, entryName), this::streamPublicationIntervalMillis);
        pool.setNoticeListener(noticeRecorder);
        dispatcher = new RequestDispatcher(
                loop,
                view,
                pool,
                new RequestDispatcher.Limits(
                        maximumKeyConfirmationAgeMillis(),
                        settings.get(GatewaySettings.RETRY_RATIO),
                        settings.get(GatewaySettings.RETRY_FIXED),
                        settings.get(GatewaySettings.RETRY_WINDOW).toMillis(),
                        dispatchMechanisms()),
                quarantine,
                metrics,
                streams);
        dispatcher.setConfirmationRequester(runConfirmation::request);
        pool.setContactLossListener(instance -> {
            view.coldStarts().recordContactLost(instance);
            dispatcher.recordContactLost(instance);
        });
        callerServer = new CallerServer(loop, dispatcher, CallerBounds.of(settings));
        DemandTracker demands = new DemandTracker();
        membership = new EntryMembership(loop, store, view, settings.get(GatewaySettings.PEER_ADDRESS));
        peerExchange =
                new PeerExchange(loop, view, demands, quarantine, metrics, membership::peers, dispatcher::demand);
        // A machine that replaces another bears its name, but has an address of its own.
        String machine = entryName + "@" + settings.get(GatewaySettings.PEER_ADDRESS);
        orderLease = new OrderLease(
                loop, store, machine, settings.get(GatewaySettings.HOLDER_GAP).toMillis(), orderLeaseDelayMillis());
        placementController =
                new PlacementController(loop, view, demands, orderLease, engines, peerExchange, placementOptions());
    }

    private ColdStarts coldStarts() {
        ColdStartBounds bounds = new ColdStartBounds(
                settings.get(GatewaySettings.COLD_OVERRUN), settings.get(GatewaySettings.COLD_SLACK));
        ColdStarts coldStarts = new ColdStarts(bounds, new SplittableRandom(System.nanoTime()));
        coldStarts.setListener(new ColdStartLog(metrics));
        return coldStarts;
    }

    private Set<DispatchMechanism> dispatchMechanisms() {
        Set<DispatchMechanism> mechanisms = EnumSet.allOf(DispatchMechanism.class);
        mechanisms.removeAll(settings.get(GatewaySettings.DISABLED_DISPATCH));
        return mechanisms;
    }

    /** Returns the regions of the failure domains, including that of this machine. */
    private Map<String, String> regions() {
        Map<String, String> regions = new HashMap<>(settings.get(GatewaySettings.REGIONS));
        regions.putIfAbsent(settings.get(GatewaySettings.FAILURE_DOMAIN), settings.get(GatewaySettings.REGION));
        return regions;
    }

    private PlacementOptions placementOptions() {
        Set<PlacementMechanism> mechanisms = EnumSet.allOf(PlacementMechanism.class);
        mechanisms.removeAll(settings.get(GatewaySettings.DISABLED_PLACEMENT));
        return new PlacementOptions(settings.get(GatewaySettings.PLACEMENT), mechanisms);
    }

    /** Returns the delay that lets machines with more cores acquire the order lease first. */
    private long orderLeaseDelayMillis() {
        double cores = settings.get(GatewaySettings.CORES) * settings.get(GatewaySettings.CORE_SHARE);
        return (long) (MAXIMUM_ORDER_LEASE_DELAY_MILLIS * Math.max(0, 1 - cores));
    }

    /** Returns the interval at which the writes of all entries together stay within their part of the store's rate. */
    private long streamPublicationIntervalMillis() {
        double writesPerSecond = settings.get(GatewaySettings.STORE_WRITE_RATE) * STREAM_WRITES_RATIO;
        return (long) Math.max(
                MINIMUM_STREAM_PUBLICATION_MILLIS, TimeUnit.SECONDS.toMillis(view.entryCount()) / writesPerSecond);
    }

    private long maximumKeyConfirmationAgeMillis() {
        return settings.get(GatewaySettings.REVOCATION).toMillis() - REVOCATION_MARGIN_MILLIS;
    }

    /** Starts all components; {@link #listen} then opens the ports. */
    public void start() {
        loop.submit(this::startOnLoop).syncUninterruptibly();
    }

    private void startOnLoop() {
        LOG.info("event=start entry={}", view.entry());
        FleetFollower.start(
                loop,
                store,
                view,
                settings.get(GatewaySettings.DRAIN).toMillis(),
                new EvacuationListener(loop, view, evacuations, metrics));
        membership.start();
        versions.start();
        streams.start();
        dispatcher.start();
        dispatcher.setShortageListener(peerExchange::reportSoon);
        dispatcher.setPromptListener(peerExchange::reportLoad);
        quarantine.setReportListener(peerExchange::reportCrash);
        new QuarantineStore(loop, store, quarantine).start();
        orderLease.start();
        placementController.start();
        loop.scheduleAtFixedRate(
                this::closeUnknownConnections,
                POOL_CLEANUP_INTERVAL_MILLIS,
                POOL_CLEANUP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts listening. Must not run on the event loop, because the event loop completes the binding. */
    public void listen() {
        peerExchange.start(settings.get(GatewaySettings.PEER_ADDRESS).toSocketAddress());
        ReadinessServer.start(
                loop, settings.get(GatewaySettings.READY_ADDRESS).toSocketAddress(), this::isReady, metrics::text);
        callerServer.start(settings.get(GatewaySettings.CALLER_ADDRESS).toSocketAddress());
    }

    /** Returns a check of whether the event loop of this entry still runs. */
    EventLoopCheck eventLoopCheck() {
        return new EventLoopCheck(loop);
    }

    private boolean isReady() {
        boolean ready = !view.isStopping()
                && view.canServe((long) (maximumKeyConfirmationAgeMillis() * READY_CONFIRMATION_AGE_RATIO));
        if (ready != wasReady) {
            LOG.info("event=ready ready={} confirmation_age_ms={}", ready, view.confirmationAgeMillis());
            wasReady = ready;
        }
        return ready;
    }

    private void closeUnknownConnections() {
        Set<String> knownInstances = new HashSet<>();
        view.instances()
                .states()
                .forEach(state -> knownInstances.add(state.instance().id()));
        pool.retainInstances(knownInstances);
    }

    /** Stops gracefully; returns when no request remains or the grace period is over. */
    public void stop() {
        loop.execute(this::stopOnLoop);
        try {
            stopped.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void stopOnLoop() {
        LOG.info("event=stop entry={} open={}", view.entry(), dispatcher.openRequestCount());
        long now = Timestamp.monotonicNowMillis();
        long graceMillis = settings.get(GatewaySettings.GRACE).toMillis();
        ShutdownSchedule schedule =
                new ShutdownSchedule(now + LOAD_BALANCER_REMOVAL_MILLIS, now + (long) (graceMillis * STOP_GRACE_RATIO));
        view.beginShutdown(schedule);
        orderLease.stop();
        dispatcher.rejectQueued();
        loop.schedule(() -> finishStop(schedule), LOAD_BALANCER_REMOVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void finishStop(ShutdownSchedule schedule) {
        callerServer.stopListening();
        callerServer.closeWhenIdle();
        boolean graceOver = Timestamp.monotonicNowMillis() >= schedule.endMillis();
        if ((dispatcher.openRequestCount() > 0 || callerServer.isReceiving()) && !graceOver) {
            loop.schedule(() -> finishStop(schedule), STOP_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        LOG.info("event=stopped entry={} open={}", view.entry(), dispatcher.openRequestCount());
        dispatcher.expireOpenRequests();
        streams.publish();
        callerServer.closeAll();
        membership.leave().subscribe(left -> stopped.countDown(), cause -> {
            LOG.warn("event=leave_failed entry={} cause=\"{}\"", view.entry(), cause.getMessage());
            stopped.countDown();
        });
    }
}
