package io.oleandermoor.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.configuration.ConfigurationHolder;
import io.oleandermoor.coordination.configuration.RevocationTable;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.daemon.health.AdministrationServer;
import io.oleandermoor.daemon.health.AdministrationServer.Readiness;
import io.oleandermoor.daemon.network.ConfigurationItems;
import io.oleandermoor.daemon.network.CrashReport;
import io.oleandermoor.daemon.network.CrashReportListener;
import io.oleandermoor.daemon.network.DisseminatingItemExchange;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.network.RevocationItems;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.daemon.placement.OrderExecutor;
import io.oleandermoor.daemon.placement.PlacementOwnerRole;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.Heartbeat;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.state.admission.AdmissionPolicy;
import io.oleandermoor.state.admission.QueueSettings;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.state.ledger.LedgerSettings;
import io.oleandermoor.state.ledger.RequestLedger;
import io.oleandermoor.state.memory.Fencing;
import io.oleandermoor.state.memory.MemorySettings;
import io.oleandermoor.transport.client.EngineControl;
import io.oleandermoor.transport.client.EngineControl.Resident;
import io.oleandermoor.transport.client.HttpClients;
import io.oleandermoor.transport.client.UpstreamClient;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.peer.PeerIdentity;
import io.oleandermoor.transport.peer.PeerListener;
import io.oleandermoor.transport.platform.EtcdKeyValueStore;
import io.oleandermoor.transport.platform.InstanceListClient;
import io.oleandermoor.transport.settings.AgentSettings;
import io.oleandermoor.transport.settings.CommonSettings;
import io.oleandermoor.transport.settings.FencingSupport;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.worker.MonotonicClock;
import io.oleandermoor.transport.worker.WorkerPool;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import okhttp3.OkHttpClient;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** The process beside one upstream. */
public final class AgentDaemon implements PeerListener, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AgentDaemon.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final LongSupplier NOW_MILLIS = MonotonicClock::nowMillis;

    /** Time without an answer to a listing and without a token after which a stream goes on at another upstream. */
    private static final long UPSTREAM_STALLED_MILLIS = 3_000;

    private static final int LARGEST_QUEUE = 1024;

    private static final int POLL_MILLIS = 500;

    private static final int EXPIRE_MILLIS = 1_000;

    /** Time between looks at attempts that wait for their turn, in milliseconds. */
    private static final int START_MILLIS = 100;

    private static final int LARGEST_CRASH_REGISTRY = 10_000;

    /** Time between looks whether a request for steps is due, in milliseconds. */
    private static final int STEP_REQUEST_MILLIS = 100;

    /** Time after the announcement that it is leaving in which an agent still takes new work. */
    private static final long LEAVING_GRACE_MILLIS = 3_000;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final Settings settings;

    private final InstanceId instance;

    private final long incarnation = System.currentTimeMillis();

    private final ProcessMetrics metrics = new ProcessMetrics();

    private final WorkerPool workers;

    private final PeerNetwork network;

    private final DisseminatingItemExchange items;

    private final CrashRegistry crashes = new CrashRegistry(LARGEST_CRASH_REGISTRY);

    private final ConfigurationHolder configuration = new ConfigurationHolder();

    private final FairWaitingQueue queue;

    private final RequestExecutor executor;

    private final Optional<OrderExecutor> orders;

    private final UpstreamMonitor monitor;

    private final CompositeDisposable timers = new CompositeDisposable();

    private List<Resident> residents = List.of();

    private long sequence;

    /** When the engine last answered a listing; used by the thread of the monitor only. */
    private long lastListedMillis = NOW_MILLIS.getAsLong();

    private boolean leaving;

    private volatile boolean accepting = true;

    private volatile @Nullable String placementOwner;

    private @Nullable AdministrationServer administration;

    /**
     * Creates the daemon without opening anything.
     *
     * @param settings settings of the agent's schema
     */
    public AgentDaemon(Settings settings) {
        this.settings = settings;
        this.instance = settings.get(CommonSettings.INSTANCE_ID);
        int configured = settings.get(CommonSettings.WORKERS);
        this.workers = new WorkerPool(
                configured > 0 ? configured : Runtime.getRuntime().availableProcessors());
        OkHttpClient platform = HttpClients.create(settings.get(CommonSettings.PLATFORM_TIMEOUT));
        OkHttpClient upstreamClient = HttpClients.create(AgentSettings.silenceLimit(settings));
        String upstreamAddress = settings.get(AgentSettings.UPSTREAM_ADDRESS).toString();
        PeerIdentity self = new PeerIdentity(
                instance.value(),
                Role.AGENT,
                incarnation,
                settings.get(CommonSettings.FAILURE_DOMAIN).value(),
                settings.get(CommonSettings.PEER_ADDRESS).toString());
        this.network = new PeerNetwork(
                self,
                new InstanceListClient(
                        platform, settings.get(CommonSettings.INSTANCE_LIST).toString()),
                other -> false,
                this,
                () -> Heartbeat.newBuilder().setLoad(load()).build());
        this.items = new DisseminatingItemExchange(
                RandomSource.XO_RO_SHI_RO_128_PP.create(), new Freshness(), network::connections, List::of, NOW_MILLIS);
        this.queue = new FairWaitingQueue(
                new QueueSettings(
                        AdmissionPolicy.WEIGHTED,
                        settings.get(AgentSettings.SLOTS),
                        LARGEST_QUEUE,
                        1,
                        1,
                        10,
                        settings.get(AgentSettings.QUEUE_WAIT_LIMIT).toMillis()),
                fingerprint -> crashes.isSuspect(fingerprint, System.currentTimeMillis()),
                NOW_MILLIS);
        CrashWatch watch = new CrashWatch(
                settings.get(AgentSettings.UPSTREAM_ID),
                settings.get(AgentSettings.UPSTREAM_ADDRESS).toSocketAddress(),
                items,
                crashes,
                queue::charged,
                NOW_MILLIS);
        this.executor = new RequestExecutor(
                new RequestExecutor.Parts(
                        new RequestLedger(LedgerSettings.defaults()),
                        queue,
                        new UpstreamClient(upstreamClient, upstreamAddress),
                        watch,
                        network::connection,
                        this::load,
                        () -> accepting),
                workers,
                metrics,
                NOW_MILLIS);
        EngineControl control =
                new EngineControl(upstreamClient, upstreamAddress, settings.get(AgentSettings.ORDER_DELAY_LIMIT));
        this.orders = settings.find(AgentSettings.MEMORY).map(memory -> orderExecutor(memory, platform, control));
        this.monitor = new UpstreamMonitor(
                control, () -> orders.map(OrderExecutor::term).orElse(0L), NOW_MILLIS, this::observed);
    }

    /**
     * Starts to serve.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        administration = new AdministrationServer(
                settings.get(CommonSettings.ADMIN_ADDRESS),
                settings.get(CommonSettings.ADMINISTRATION_BODY_LIMIT).intValue(),
                metrics,
                () -> accepting ? Readiness.READY : new Readiness(false, "leaving"),
                exchange -> exchange.respond(HttpResponse.text(404, "not found\n")));
        network.start(settings.get(CommonSettings.PEER_ADDRESS).toSocketAddress());
        announce();
        if (settings.find(AgentSettings.SERVICE_NAME).isEmpty()) {
            timers.add(Observable.interval(0, POLL_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                    .subscribe(tick -> monitor.poll()));
        }
        items.listen(PlacementOwnerRole.NAME, (name, version, content) -> {
            placementOwner = new String(content, StandardCharsets.UTF_8);
            orders.ifPresent(OrderExecutor::ownerChanged);
        });
        items.listen(CrashReport.ITEM_PREFIX, new CrashReportListener(crashes, metrics));
        configuration.addListener((before, after) -> queue.configure(after));
        RevocationItems revocations =
                new RevocationItems(items, new RevocationTable(), configuration::configuration, hash -> {});
        configuration.addListener((before, after) -> revocations.configurationChanged(after));
        ConfigurationItems configurationItems = new ConfigurationItems(items, configuration);
        timers.add(
                Observable.interval(DisseminatingItemExchange.EXCHANGE_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                        .subscribe(tick -> {
                            items.exchange();
                            configurationItems.repair();
                        }));
        timers.add(Observable.interval(STEP_REQUEST_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> askForSteps()));
        timers.add(Observable.interval(EXPIRE_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> {
                    executor.expire();
                    crashes.expire(System.currentTimeMillis());
                }));
        timers.add(Observable.interval(START_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> executor.startWaiting()));
        metrics.gauge("oleandermoor_attempts", "Attempts that wait or run", executor::size);
        metrics.gauge(
                "oleandermoor_configuration_version",
                "Version of the configuration in force",
                () -> configuration.configuration().version());
        LogEvent.of("agent_started")
                .with("instance", instance)
                .with("upstream", settings.get(AgentSettings.UPSTREAM_ID))
                .info(LOGGER);
    }

    @Override
    public void opened(PeerConnection connection) {
        items.opened(connection);
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
        if (envelope.hasItems()) {
            items.received(connection, envelope.getItems());
        } else if (envelope.hasStepGrant()) {
            orders.ifPresent(executorOfOrders -> executorOfOrders.accept(envelope.getStepGrant()));
        } else {
            executor.received(connection, envelope);
        }
    }

    @Override
    public void closed(PeerConnection connection) {
        executor.connectionLost(connection.remote().instance());
    }

    /**
     * Stops gracefully: announces that the upstream is leaving, refuses new work after the grace time, and waits until
     * running work has ended. Streams that would take longer than the drain limit go on at other upstreams.
     */
    public void stop() {
        leave();
        MonotonicClock.sleep(LEAVING_GRACE_MILLIS);
        accepting = false;
        long until = NOW_MILLIS.getAsLong()
                + settings.get(CommonSettings.DRAIN_LIMIT).toMillis();
        while (executor.size() > 0 && NOW_MILLIS.getAsLong() < until) {
            MonotonicClock.sleep(DRAIN_POLL_MILLIS);
        }
        executor.moveAll();
        // Non-repeatable calls cannot go elsewhere; they are waited for.
        while (executor.size() > 0) {
            MonotonicClock.sleep(DRAIN_POLL_MILLIS);
        }
        // Gives the last messages time to leave.
        MonotonicClock.sleep(DRAIN_POLL_MILLIS);
        LogEvent.of("agent_stopped").with("instance", instance).info(LOGGER);
        close();
    }

    @Override
    public void close() {
        timers.dispose();
        network.close();
        if (administration != null) {
            administration.close();
        }
        workers.close();
    }

    private Load load() {
        return Load.newBuilder()
                .setRunning(queue.running())
                .setQueued(queue.waiting())
                .setSlots(settings.get(AgentSettings.SLOTS))
                .setExpectedWaitMillis((int) Math.min(Integer.MAX_VALUE, queue.expectedWaitMillis()))
                .build();
    }

    private synchronized void leave() {
        leaving = true;
        LogEvent.of("agent_leaving").with("instance", instance).info(LOGGER);
        announce();
    }

    private OrderExecutor orderExecutor(long memoryBytes, OkHttpClient platform, EngineControl control) {
        KeyValueStore store = new EtcdKeyValueStore(
                platform, settings.get(CommonSettings.KEY_VALUE_SERVICE).toString());
        return new OrderExecutor(
                new MemorySettings(
                        settings.get(AgentSettings.UPSTREAM_ID),
                        memoryBytes >> 20,
                        settings.get(AgentSettings.FENCING) == FencingSupport.ENFORCED
                                ? Fencing.HONOURED
                                : Fencing.IGNORED,
                        settings.get(AgentSettings.ORDER_DELAY_LIMIT).toMillis(),
                        PlacementOwnerRole.GRANT_VALID_MILLIS),
                store,
                new ConditionalWriter(
                        store, Schedulers.computation(), instance.value() + "/" + incarnation + "/orders"),
                control,
                NOW_MILLIS);
    }

    /** Asks the placement owner what to load and unload. */
    private void askForSteps() {
        PeerConnection owner =
                Optional.ofNullable(placementOwner).flatMap(network::connection).orElse(null);
        if (owner != null && accepting) {
            orders.flatMap(OrderExecutor::nextRequest)
                    .ifPresent(request -> owner.send(
                            Envelope.newBuilder().setStepRequest(request).build()));
        }
    }

    private void observed(Optional<List<Resident>> listing, long requestedMillis) {
        long now = NOW_MILLIS.getAsLong();
        if (listing.isPresent()) {
            lastListedMillis = now;
        } else if (now - lastListedMillis >= UPSTREAM_STALLED_MILLIS) {
            executor.moveSilent(UPSTREAM_STALLED_MILLIS);
        }
        listing.ifPresent(residents -> orders.ifPresent(executor -> executor.listed(residents, requestedMillis)));
        observed(listing.orElse(List.of()));
    }

    private synchronized void observed(List<Resident> next) {
        if (!next.equals(residents)) {
            residents = next;
            announce();
        }
    }

    private synchronized void announce() {
        sequence++;
        UpstreamDescription description = new UpstreamDescription(
                instance.value(),
                settings.get(AgentSettings.UPSTREAM_ID).value(),
                settings.find(AgentSettings.SERVICE_NAME)
                        .map(ServiceName::value)
                        .orElse(""),
                settings.get(CommonSettings.FAILURE_DOMAIN).value(),
                leaving,
                incarnation,
                sequence,
                settings.find(AgentSettings.MEMORY).orElse(0L) >> 20,
                ready(false),
                ready(true));
        try {
            // The incarnation in milliseconds leaves room below it for a sequence number of each announcement.
            items.publish(
                    UpstreamDescription.ITEM_PREFIX + description.upstream(),
                    incarnation * 1000 + sequence,
                    MAPPER.writeValueAsBytes(description));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a description can always be written as JSON", exception);
        }
    }

    private List<String> ready(boolean adapters) {
        return residents.stream()
                .filter(resident -> resident.adapter() == adapters && resident.isReady())
                .map(Resident::name)
                .toList();
    }
}
