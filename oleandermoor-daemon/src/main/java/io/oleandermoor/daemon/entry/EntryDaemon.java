package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.configuration.ConfigurationFollower;
import io.oleandermoor.coordination.configuration.ConfigurationHolder;
import io.oleandermoor.coordination.configuration.ConfigurationLog;
import io.oleandermoor.coordination.configuration.ServiceReadPolicy;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.lease.LeaseKeeper;
import io.oleandermoor.coordination.lease.LeaseSettings;
import io.oleandermoor.coordination.lease.OwnershipPreference;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.daemon.administration.AdministrationApi;
import io.oleandermoor.daemon.administration.AdministrationRequest;
import io.oleandermoor.daemon.administration.AdministrationResponse;
import io.oleandermoor.daemon.administration.ProcessStatus;
import io.oleandermoor.daemon.health.AdministrationServer;
import io.oleandermoor.daemon.health.AdministrationServer.Readiness;
import io.oleandermoor.daemon.network.ConfigurationItems;
import io.oleandermoor.daemon.network.CrashReport;
import io.oleandermoor.daemon.network.CrashReportListener;
import io.oleandermoor.daemon.network.DisseminatingItemExchange;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Heartbeat;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.state.ledger.IdempotencyDecider;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateSettings;
import io.oleandermoor.state.routing.Router;
import io.oleandermoor.state.routing.RoutingPolicy;
import io.oleandermoor.state.routing.RoutingSettings;
import io.oleandermoor.state.routing.RoutingTable;
import io.oleandermoor.transport.client.HttpClients;
import io.oleandermoor.transport.http.ConnectionLimit;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.peer.PeerIdentity;
import io.oleandermoor.transport.peer.PeerListener;
import io.oleandermoor.transport.platform.EtcdKeyValueStore;
import io.oleandermoor.transport.platform.InstanceListClient;
import io.oleandermoor.transport.settings.CommonSettings;
import io.oleandermoor.transport.settings.EntrySettings;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.worker.MonotonicClock;
import io.oleandermoor.transport.worker.Timers;
import io.oleandermoor.transport.worker.WorkerPool;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import okhttp3.OkHttpClient;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** The process that callers talk to. */
public final class EntryDaemon implements PeerListener, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(EntryDaemon.class);

    private static final LongSupplier NOW_MILLIS = MonotonicClock::nowMillis;

    /** Largest number of entries that share the floors of the teams. */
    private static final int MAXIMUM_ENTRIES = 8;

    private static final RateSettings RATE_SETTINGS = RateSettings.defaults(MAXIMUM_ENTRIES);

    private static final UniformRandomProvider RANDOM = new ThreadLocalRandomProvider();

    private static final int LARGEST_CRASH_REGISTRY = 10_000;

    /** Longest answer of a non-repeatable call that is kept for repeats. */
    private static final int LARGEST_STORED_BODY_BYTES = 64 * 1024;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final Settings settings;

    private final InstanceId instance;

    private final long incarnation = System.currentTimeMillis();

    private final ProcessMetrics metrics = new ProcessMetrics();

    private final Timers timers = new Timers();

    private final WorkerPool workers;

    private final PeerNetwork network;

    private final EntryPeers peers;

    private final DisseminatingItemExchange items;

    private final ConfigurationHolder configuration = new ConfigurationHolder();

    private final Freshness freshness = new Freshness();

    private final ConfigurationFollower follower;

    private final LeaseKeeper leases;

    private final RateShell rates;

    private final PlacementShell placement;

    private final RequestTable requests;

    private final UpstreamDirectory upstreams;

    private final CrashRegistry crashes = new CrashRegistry(LARGEST_CRASH_REGISTRY);

    private final KeyRevocations revocations;

    private final CallerApi callerApi;

    private final AdministrationApi administrationApi;

    private final EntryReadiness readiness = new EntryReadiness();

    private volatile boolean draining;

    private volatile boolean stopping;

    /** Version of the configuration in force at each connected process, as its last heartbeat said. */
    private final Map<PeerIdentity, Long> versions = new ConcurrentHashMap<>();

    private Disposable exchanges = Disposable.disposed();

    private @Nullable HttpServer callers;

    private @Nullable AdministrationServer administration;

    /**
     * Creates the daemon without opening anything.
     *
     * @param settings settings of the entry's schema
     */
    public EntryDaemon(Settings settings) {
        this.settings = settings;
        this.instance = settings.get(CommonSettings.INSTANCE_ID);
        int configured = settings.get(CommonSettings.WORKERS);
        this.workers = new WorkerPool(
                configured > 0 ? configured : Runtime.getRuntime().availableProcessors());
        OkHttpClient client = HttpClients.create(settings.get(CommonSettings.PLATFORM_TIMEOUT));
        this.network = new PeerNetwork(
                identity(),
                new InstanceListClient(
                        client, settings.get(CommonSettings.INSTANCE_LIST).toString()),
                this::connectsTo,
                this,
                this::heartbeat);
        this.items = new DisseminatingItemExchange(RANDOM, freshness, network::connections, this::readers, NOW_MILLIS);
        this.peers = new EntryPeers(instance, network, freshness, items, NOW_MILLIS);
        KeyValueStore store = new EtcdKeyValueStore(
                client, settings.get(CommonSettings.KEY_VALUE_SERVICE).toString());
        ConfigurationLog log =
                new ConfigurationLog(store, Schedulers.computation(), instance.value() + "-" + incarnation);
        this.follower = new ConfigurationFollower(
                store,
                log,
                configuration,
                freshness,
                new ServiceReadPolicy(RANDOM, true),
                Schedulers.computation(),
                NOW_MILLIS);
        this.leases = leaseKeeper(store);
        this.rates = new RateShell(
                new RateClientId(instance, incarnation),
                RATE_SETTINGS,
                store,
                items,
                network,
                configuration::configuration,
                NOW_MILLIS);
        RoutingTable table = new RoutingTable();
        this.upstreams = new UpstreamDirectory(table, network, NOW_MILLIS);
        this.placement = placementShell(store);
        this.requests = new RequestTable(
                workers,
                timers,
                name -> network.connection(name).isPresent(),
                settings.get(EntrySettings.REQUEST_LIMIT));
        this.revocations = new KeyRevocations(items, configuration, log, freshness, requests, NOW_MILLIS);
        EntryServices services = services(table, store);
        this.callerApi = new CallerApi(parser(), requests, services, () -> !stopping);
        this.administrationApi = new AdministrationApi(
                new StoreConfigurationService(log, configuration, this::status, revocations),
                settings.get(CommonSettings.ADMINISTRATION_CREDENTIAL_HASH),
                settings.get(CommonSettings.ADMINISTRATION_BODY_LIMIT).intValue());
    }

    /**
     * Starts to serve.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        configuration.addListener(this::configurationChanged);
        items.listen(UpstreamDescription.ITEM_PREFIX, upstreams::accept);
        items.listen(CrashReport.ITEM_PREFIX, new CrashReportListener(crashes, metrics));
        administration = new AdministrationServer(
                settings.get(CommonSettings.ADMIN_ADDRESS),
                settings.get(CommonSettings.ADMINISTRATION_BODY_LIMIT).intValue(),
                metrics,
                this::readiness,
                this::administer);
        network.start(settings.get(CommonSettings.PEER_ADDRESS).toSocketAddress());
        ConfigurationItems configurationItems = new ConfigurationItems(items, configuration);
        follower.start(() -> peers.readers().contains(instance), configurationItems::publish);
        exchanges = Observable.interval(
                        DisseminatingItemExchange.EXCHANGE_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> {
                    items.exchange();
                    configurationItems.repair();
                    peers.tick();
                    revocations.tick();
                });
        rates.register(leases);
        placement.register(leases);
        rates.start();
        placement.start();
        leases.start();
        ConnectionLimit connections = new ConnectionLimit(settings.get(EntrySettings.CONNECTION_LIMIT));
        callers = JoobyHttpServer.start(
                settings.get(EntrySettings.CALLER_ADDRESS).toSocketAddress(),
                settings.get(EntrySettings.BODY_LIMIT).intValue(),
                connections,
                callerApi);
        metrics.gauge("oleandermoor_connections", "Open connections of callers", connections::open);
        metrics.gauge(
                "oleandermoor_connections_refused",
                "Connections refused because of their number",
                connections::refused);
        metrics.gauge("oleandermoor_requests_in_flight", "Requests in flight", requests::size);
        metrics.gauge(
                "oleandermoor_configuration_version",
                "Version of the configuration in force",
                () -> configuration.configuration().version());
        LogEvent.of("entry_started")
                .with("instance", instance)
                .with("callers", settings.get(EntrySettings.CALLER_ADDRESS))
                .info(LOGGER);
    }

    @Override
    public void opened(PeerConnection connection) {
        items.opened(connection);
        requests.connectionOpened(connection);
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
        switch (envelope.getPayloadCase()) {
            case ITEMS -> {
                follower.heard();
                items.received(connection, envelope.getItems());
            }
            case HEARTBEAT -> {
                upstreams.report(connection, envelope.getHeartbeat().getLoad());
                versions.put(connection.remote(), envelope.getHeartbeat().getConfigurationVersion());
            }
            case RATE_REQUEST -> rates.received(connection, envelope.getRateRequest());
            case STEP_REQUEST -> placement.stepsRequested(connection, envelope);
            case DEMAND_REPORT -> placement.demandReported(connection, envelope.getDemandReport());
            case RATE_GRANT -> rates.received(envelope.getRateGrant());
            default -> requests.received(connection, envelope);
        }
    }

    @Override
    public void closed(PeerConnection connection) {
        versions.remove(connection.remote());
        requests.connectionLost(connection.remote().instance());
    }

    /**
     * Stops gracefully: readiness fails first, requests are accepted until the load balancer has had time to notice,
     * then requests under way end, within the drain limit.
     */
    public void stop() {
        draining = true;
        LogEvent.of("entry_draining")
                .with("instance", instance)
                .with("requests", requests.size())
                .info(LOGGER);
        MonotonicClock.sleep(settings.get(EntrySettings.LOAD_BALANCER_WAIT).toMillis());
        stopping = true;
        long until = NOW_MILLIS.getAsLong()
                + settings.get(CommonSettings.DRAIN_LIMIT).toMillis();
        while (requests.size() > 0 && NOW_MILLIS.getAsLong() < until) {
            MonotonicClock.sleep(DRAIN_POLL_MILLIS);
        }
        LogEvent.of("entry_stopped")
                .with("instance", instance)
                .with("unfinished", requests.size())
                .info(LOGGER);
        close();
    }

    @Override
    public void close() {
        stopping = true;
        if (callers != null) {
            callers.close();
        }
        if (!leases.stop().blockingAwait(1, TimeUnit.SECONDS)) {
            LOGGER.warn("event=leases_not_released");
        }
        exchanges.dispose();
        placement.close();
        rates.close();
        follower.stop();
        network.close();
        if (administration != null) {
            administration.close();
        }
        workers.close();
        timers.close();
    }

    private void configurationChanged(Configuration before, Configuration after) {
        rates.configurationChanged(after);
        requests.endRequestsWith(request -> request.key().isPresent()
                && after.key(request.key().get().hash()).isEmpty());
    }

    private RequestParser parser() {
        return new RequestParser(
                configuration::configuration,
                peers::keysUsable,
                revocations::isRevoked,
                settings.get(CommonSettings.FAILURE_DOMAIN),
                NOW_MILLIS,
                EntryDaemon::newRequestId,
                settings.get(EntrySettings.REQUEST_TIME_LIMIT).toMillis());
    }

    private EntryServices services(RoutingTable table, KeyValueStore store) {
        return new EntryServices(
                instance,
                new Router(table, RoutingSettings.defaults(RoutingPolicy.AFFINITY)),
                upstreams,
                rates,
                new StoreOnceService(
                        store, new IdempotencyDecider(RequestParser.LARGEST_TIMEOUT_MILLIS, LARGEST_STORED_BODY_BYTES)),
                crashes,
                this::sendCrashReports,
                new SharedRetryBudget(),
                placement.demand(),
                metrics,
                timers,
                RANDOM,
                NOW_MILLIS);
    }

    /** Lets an agent know that a request is suspect before it receives the request. */
    private void sendCrashReports(PeerConnection connection) {
        long oldest = System.currentTimeMillis() - CrashRegistry.BLOCK_DURATION_MILLIS;
        items.sendKnown(connection, item -> item.name().startsWith(CrashReport.ITEM_PREFIX) && item.version() > oldest);
    }

    private Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setConfigurationVersion(configuration.configuration().version())
                .build();
    }

    private PlacementShell placementShell(KeyValueStore store) {
        return new PlacementShell(
                new RateClientId(instance, incarnation),
                store,
                items,
                network,
                upstreams,
                configuration::configuration,
                NOW_MILLIS);
    }

    private PeerIdentity identity() {
        return new PeerIdentity(
                instance.value(),
                Role.ENTRY,
                incarnation,
                settings.get(CommonSettings.FAILURE_DOMAIN).value(),
                settings.get(CommonSettings.PEER_ADDRESS).toString());
    }

    private LeaseKeeper leaseKeeper(KeyValueStore store) {
        return new LeaseKeeper(
                store,
                Schedulers.computation(),
                NOW_MILLIS,
                LeaseSettings.DEFAULT,
                OwnershipPreference.rendezvous(instance, peers::entries),
                instance,
                incarnation);
    }

    private Readiness readiness() {
        return readiness.decide(
                draining, configuration.configuration().version(), peers.keysUsable(), upstreams.isAnyConnected());
    }

    private void administer(HttpExchange exchange) {
        AdministrationRequest request = new AdministrationRequest(
                exchange.method(), exchange.path(), exchange.header("Authorization"), exchange.body());
        // Submitting waits for the key-value service, which must not hold an event loop.
        Schedulers.io().scheduleDirect(() -> {
            AdministrationResponse response = administrationApi.handle(request);
            exchange.respond(HttpResponse.json(response.status(), response.body()));
        });
    }

    private List<ProcessStatus> status() {
        List<ProcessStatus> processes = new ArrayList<>();
        processes.add(new ProcessStatus(
                instance.value(),
                "entry",
                settings.get(CommonSettings.FAILURE_DOMAIN).value(),
                readiness().reason(),
                configuration.configuration().version()));
        versions.forEach((peer, version) -> {
            if (peer.role() == Role.ENTRY) {
                processes.add(new ProcessStatus(
                        peer.instance(),
                        "entry",
                        peer.failureDomain(),
                        version == 0 ? "no configuration" : "ready",
                        version));
            }
        });
        return processes;
    }

    /** Entries open connections to all agents; of two entries the one with the smaller name connects to the other. */
    private boolean connectsTo(InstanceListClient.Instance other) {
        return other.role().equals("agent") || instance.value().compareTo(other.instance()) < 0;
    }

    private List<InstanceId> readers() {
        return peers.readers();
    }

    private static RequestId newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return new RequestId(random.nextLong(), random.nextLong());
    }
}
