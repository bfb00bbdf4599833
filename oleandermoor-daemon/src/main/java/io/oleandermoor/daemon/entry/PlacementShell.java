package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.lease.LeaseKeeper;
import io.oleandermoor.coordination.lease.Ownership;
import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.daemon.network.ItemExchange;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.placement.DemandKeeper;
import io.oleandermoor.daemon.placement.PlacementOwnerRole;
import io.oleandermoor.daemon.placement.StoredValue;
import io.oleandermoor.protocol.message.DemandReport;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.StepGrant;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.transport.peer.PeerConnection;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Connects placement in this entry: the role of the owner, and the report of demand to whoever is the owner. */
final class PlacementShell implements AutoCloseable {

    private static final long TICK_MILLIS = 1_000;

    /** Time between two looks for agents to notify; it delays a load by half of it in the mean. */
    private static final long NOTIFY_MILLIS = 250;

    private static final long DEMAND_REPORT_MILLIS = 5_000;

    /** Time without a connection to its agent after which an engine counts as down. */
    private static final long ENGINE_DOWN_MILLIS = 5_000;

    private final InstanceId instance;

    private final ItemExchange items;

    private final PeerNetwork network;

    private final UpstreamDirectory upstreams;

    private final DemandMeter demand;

    private final PlacementOwnerRole role;

    private final CompositeDisposable timers = new CompositeDisposable();

    private volatile @Nullable String owner;

    PlacementShell(
            RateClientId self,
            KeyValueStore store,
            ItemExchange items,
            PeerNetwork network,
            UpstreamDirectory upstreams,
            Supplier<Configuration> configuration,
            LongSupplier nowMillis) {
        this.instance = self.instance();
        this.items = items;
        this.network = network;
        this.upstreams = upstreams;
        this.demand = new DemandMeter(nowMillis);
        ConditionalWriter writer = new ConditionalWriter(
                store, Schedulers.computation(), self.instance() + "/" + self.incarnation() + "/plan");
        this.role = new PlacementOwnerRole(
                new StoredValue(store, writer, PlacementOwnerRole.PLAN_NAME),
                new DemandKeeper(new StoredValue(store, writer, DemandKeeper.ARCHIVE_NAME), Instant::now),
                configuration,
                upstream -> upstreams.status(upstream, ENGINE_DOWN_MILLIS),
                nowMillis,
                this::announce);
        upstreams.addListener(role::announced);
    }

    DemandMeter demand() {
        return demand;
    }

    void register(LeaseKeeper keeper) {
        keeper.register(PlacementOwnerRole.NAME, role);
    }

    void start() {
        items.listen(
                PlacementOwnerRole.NAME,
                (name, version, content) -> owner = new String(content, StandardCharsets.UTF_8));
        timers.add(Observable.interval(TICK_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> role.tick()));
        timers.add(Observable.interval(NOTIFY_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> notifyAgents()));
        timers.add(Observable.interval(DEMAND_REPORT_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> reportDemand()));
    }

    /** Answers an agent that asks what to load and unload. */
    void stepsRequested(PeerConnection connection, Envelope envelope) {
        connection.send(Envelope.newBuilder()
                .setStepGrant(role.handle(envelope.getStepRequest()))
                .build());
    }

    /** Takes in the demand that another entry has seen. */
    void demandReported(PeerConnection connection, DemandReport report) {
        role.demand(connection.remote().instance(), report);
    }

    @Override
    public void close() {
        timers.dispose();
    }

    private void announce(Ownership ownership) {
        items.publish(
                PlacementOwnerRole.NAME,
                ownership.fencing().value(),
                instance.value().getBytes(StandardCharsets.UTF_8));
    }

    private void notifyAgents() {
        Envelope waiting = Envelope.newBuilder()
                .setStepGrant(StepGrant.newBuilder().setStepsWaiting(true))
                .build();
        role.enginesToNotify()
                .forEach(engine -> upstreams.connection(engine).ifPresent(connection -> connection.send(waiting)));
    }

    private void reportDemand() {
        DemandReport report = demand.report();
        String current = owner;
        if (current == null || current.equals(instance.value())) {
            role.demand(instance.value(), report);
        } else {
            network.connection(current)
                    .ifPresent(connection -> connection.send(
                            Envelope.newBuilder().setDemandReport(report).build()));
        }
    }
}
