package io.oleandermoor.gateway.version;

import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.oleandermoor.gateway.standin.StoreStandIn;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.CallerLimits;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.RequestKind;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.transport.settings.Address;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** What an entry knows about versions, beside a stand-in of the store. */
final class VersionFixture implements AutoCloseable {

    static final Duration LIMIT = Duration.ofSeconds(10);
    static final String SERVICE = "words";
    static final String VERSIONS = "oleandermoor/versions/" + SERVICE + "/";
    static final String STREAMS = "oleandermoor/streams/";
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long PUBLICATION_INTERVAL_MILLIS = 250;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final StoreStandIn store;
    private final DeploymentView view = new DeploymentView("entry-1", new InstanceTable("a", 1));
    private final StoreClient client;
    private final VersionRegistry registry;
    private final StreamRecords records;

    VersionFixture() throws Exception {
        store = new StoreStandIn();
        client = client();
        registry = new VersionRegistry(loop, client, view);
        records = new StreamRecords(
                loop, registry, new StreamRecordStore(client, "entry-1"), () -> PUBLICATION_INTERVAL_MILLIS);
    }

    private StoreClient client() throws Exception {
        return new StoreClient(loop, Address.parse(store.address()).toSocketAddress(), TIMEOUT_MILLIS);
    }

    StoreStandIn store() {
        return store;
    }

    VersionRegistry registry() {
        return registry;
    }

    StreamRecords records() {
        return records;
    }

    /** Returns another entry's access to the records in the store. */
    StreamRecordStore otherRecordStore() throws Exception {
        return new StreamRecordStore(client(), "entry-2");
    }

    <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    void run(Runnable task) throws Exception {
        loop.submit(task).sync();
    }

    /** Starts with a configuration whose streams run at the service. */
    void start() throws Exception {
        HostRoute route = new HostRoute(
                "r",
                "h",
                "/",
                RequestKind.STREAMING,
                1_000,
                100,
                0,
                0,
                List.of(new HostRoute.WeightedService(SERVICE, 1)),
                1,
                new HostRoute.Traits(true, false, true));
        run(() -> {
            view.applyDocument(
                    new FleetDocument(1, List.of(route), List.of(), List.of(), new CallerLimits(1, 1, 1, 1)));
            view.markInstancesLoaded();
            registry.start();
            records.start();
        });
    }

    void putInstance(String id, String version) throws Exception {
        run(() -> {
            view.instances()
                    .put(
                            new UpstreamInstance(
                                    id,
                                    SERVICE,
                                    "10.0.0.1",
                                    80,
                                    "a",
                                    1,
                                    false,
                                    OptionalLong.empty(),
                                    Map.of(),
                                    Set.of(),
                                    1,
                                    new SoftwareVersion(version)),
                            0);
            view.notifyChangeListeners();
        });
    }

    void removeInstance(String id) throws Exception {
        run(() -> {
            view.instances().remove(id);
            view.notifyChangeListeners();
        });
    }

    /** Writes a record as another entry does. */
    void recordElsewhere(String version, String use) {
        store.put(VERSIONS + version, SERVICE + " " + version + " " + use);
    }

    /** Starts with two versions in use. */
    void startWithTwoVersions() throws Exception {
        start();
        putInstance("old", "v1");
        putInstance("new", "v2");
        awaitRecords(2);
    }

    void awaitRecords(int count) {
        await().atMost(LIMIT).until(() -> store.keys(VERSIONS).size() == count);
    }

    /** Waits for the delayed tasks that are scheduled up to now. */
    void awaitUpdates() throws Exception {
        loop.schedule(() -> {}, 50, TimeUnit.MILLISECONDS).sync();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }
}
