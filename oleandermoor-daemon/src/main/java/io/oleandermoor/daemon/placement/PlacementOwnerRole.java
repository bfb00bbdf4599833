package io.oleandermoor.daemon.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.lease.OwnedRole;
import io.oleandermoor.coordination.lease.Ownership;
import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.daemon.network.ItemExchange;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.mapping.PlacementMessages;
import io.oleandermoor.protocol.message.DemandReport;
import io.oleandermoor.protocol.message.Step;
import io.oleandermoor.protocol.message.StepGrant;
import io.oleandermoor.protocol.message.StepRequest;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.placement.EngineStatus;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.LoadPermitDecision;
import io.oleandermoor.state.placement.LoadPermitRequest;
import io.oleandermoor.state.placement.PlacementPlan;
import io.oleandermoor.state.placement.PlacementPlanner;
import io.oleandermoor.state.placement.PlacementPolicy;
import io.oleandermoor.state.placement.PlacementSettings;
import io.oleandermoor.state.placement.PlacementStep;
import io.oleandermoor.state.placement.PlanVersion;
import io.oleandermoor.state.placement.StepPlanner;
import io.oleandermoor.state.placement.WeightStoreLimiter;
import io.oleandermoor.state.placement.WeightStoreLimits;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The placement owner, while this process owns {@link #NAME}. It plans, writes each plan before it is in force, and
 * grants the steps that agents ask for. Safe for use by several threads; its lock has place 3 in the lock order.
 */
public final class PlacementOwnerRole implements OwnedRole {

    /** Name that the placement owner owns. */
    public static final String NAME = "owner/placement";

    /** Name of the plan at the key-value service, and of the item that spreads it. */
    public static final String PLAN_NAME = "placement/plan";

    /** Validity of a grant, counted by the agent from when it sent its request, in milliseconds. */
    public static final int GRANT_VALID_MILLIS = 2_000;

    /**
     * Time after its election in which an owner grants nothing: the grants of the owner before have ended by then, and
     * all agents have reported.
     */
    static final long QUIET_MILLIS = 5_000;

    private static final long PERMIT_MILLIS = 30_000;

    private static final long PERMIT_REQUEST_MILLIS = 5_000;

    private static final long SEQUENCES = 1L << 20;

    private static final double THOUSAND_SECONDS = 1_000;

    private static final Logger LOGGER = LogManager.getLogger(PlacementOwnerRole.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Object lock = new Object();

    private final PlacementPlanner planner;

    private final KeyValueStore store;

    private final ConditionalWriter writer;

    private final ItemExchange items;

    private final Supplier<Configuration> configuration;

    private final Function<UpstreamId, EngineStatus> status;

    private final LongSupplier nowMillis;

    private final Consumer<Ownership> announce;

    private final FleetView fleet = new FleetView();

    private final DemandTable demand = new DemandTable();

    private @Nullable Term term;

    private @Nullable PlacementPlan plan;

    private String lastFindings = "";

    /**
     * Creates the role.
     *
     * @param store the key-value service
     * @param writer writes the plan
     * @param items spreads the plan
     * @param configuration the configuration in force
     * @param status tells whether an engine can be used
     * @param nowMillis the monotonic clock in milliseconds
     * @param announce tells other processes about a new ownership
     */
    public PlacementOwnerRole(
            KeyValueStore store,
            ConditionalWriter writer,
            ItemExchange items,
            Supplier<Configuration> configuration,
            Function<UpstreamId, EngineStatus> status,
            LongSupplier nowMillis,
            Consumer<Ownership> announce) {
        this.planner = new PlacementPlanner(PlacementPolicy.DEMAND, PlacementSettings.forEngines(2_000));
        this.store = store;
        this.writer = writer;
        this.items = items;
        this.configuration = configuration;
        this.status = status;
        this.nowMillis = nowMillis;
        this.announce = announce;
    }

    @Override
    public void started(Ownership ownership) {
        synchronized (lock) {
            WeightStoreLimiter limiter = new WeightStoreLimiter(limits(), nowMillis.getAsLong() + QUIET_MILLIS);
            term = new Term(ownership, nowMillis.getAsLong(), limiter);
            plan = null;
        }
        announce.accept(ownership);
    }

    @Override
    public void ended(Ownership ownership) {
        synchronized (lock) {
            term = null;
        }
    }

    /**
     * Takes in what an agent announces.
     *
     * @param description the description of its upstream
     */
    public void announced(UpstreamDescription description) {
        if (description.service().isEmpty()) {
            synchronized (lock) {
                fleet.announced(new FleetView.Engine(
                        new UpstreamId(description.upstream()),
                        new FailureDomain(description.failureDomain()),
                        Math.max(1, description.memoryMegabytes()),
                        List.of()));
            }
        }
    }

    /**
     * Takes in the demand that an entry has seen.
     *
     * @param entry the entry's instance
     * @param report the report
     */
    public void demand(String entry, DemandReport report) {
        synchronized (lock) {
            demand.reported(entry, report, nowMillis.getAsLong());
        }
    }

    /** Plans again if anything has changed. May block on the key-value service; called by one thread. */
    public void tick() {
        Term current;
        PlacementPlan last;
        PlacementPlan next;
        synchronized (lock) {
            current = term;
            long now = nowMillis.getAsLong();
            if (current == null
                    || !current.ownership.isOwner(now)
                    || now - current.sinceMillis < QUIET_MILLIS
                    || configuration.get().version() == 0) {
                return;
            }
            last = plan;
        }
        try {
            Optional<VersionedValue> stored = store.get(PLAN_NAME).blockingGet();
            if (last == null && stored.isPresent()) {
                last = MAPPER.readValue(ConditionalWriter.content(stored.get()), PlacementPlan.class);
            }
            synchronized (lock) {
                next = compute(current, last);
            }
            if (last == null || !next.upstreams().equals(last.upstreams())) {
                write(current, next, stored.map(VersionedValue::revision).orElse(KeyValueStore.ABSENT));
            } else {
                put(current, last);
            }
        } catch (IOException | RuntimeException | StoreException exception) {
            LogEvent.of("placement_not_planned")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }

    /**
     * Answers an agent.
     *
     * @param request the request with what the engine holds
     * @return the steps that the agent may order now
     */
    public StepGrant handle(StepRequest request) {
        UpstreamId upstream = new UpstreamId(request.getUpstream());
        List<EngineListing.Entry> residents = request.getResidentsList().stream()
                .map(PlacementMessages::fromMessage)
                .toList();
        StepGrant.Builder grant = StepGrant.newBuilder().setSequence(request.getSequence());
        synchronized (lock) {
            long now = nowMillis.getAsLong();
            fleet.reported(upstream, residents, now);
            Term current = term;
            // The grant must end before another process can be the owner.
            if (current == null || !current.ownership.isOwner(now + GRANT_VALID_MILLIS)) {
                return grant.build();
            }
            grant.setOwner(true).setValidMillis(GRANT_VALID_MILLIS);
            releaseFinished(current, upstream, residents, now);
            PlacementPlan wanted = plan;
            if (wanted != null) {
                FleetState state = state();
                StepPlanner.steps(wanted, state, current.limiter.startable(now)).stream()
                        .filter(step -> step.upstream().equals(upstream))
                        .filter(step -> !fleet.isPending(upstream, step.weights()))
                        .filter(step -> mayStart(current, step, state, now))
                        .forEach(step -> {
                            fleet.granted(upstream, step.weights(), step.memoryMegabytes(), step.kind(), now);
                            grant.addSteps(toMessage(step));
                        });
            }
        }
        return grant.build();
    }

    private boolean mayStart(Term current, PlacementStep step, FleetState state, long now) {
        if (step.kind() == Order.Kind.UNLOAD) {
            return true;
        }
        int copies = (int) state.engines().stream()
                .flatMap(engine -> engine.residents().stream())
                .filter(entry -> entry.weights().equals(step.weights()))
                .count();
        LoadPermitRequest request =
                new LoadPermitRequest(step.upstream(), step.weights(), copies, demandOf(step, state));
        return current.limiter.request(request, now) instanceof LoadPermitDecision.Granted;
    }

    private static double demandOf(PlacementStep step, FleetState state) {
        return step.weights().isAdapter()
                ? 0
                : state.demandOf(new ModelName(step.weights().nameText())).present();
    }

    private static void releaseFinished(
            Term current, UpstreamId upstream, List<EngineListing.Entry> residents, long now) {
        for (EngineListing.Entry entry : residents) {
            if (entry.residency() != Residency.LOADING) {
                current.limiter.release(upstream, entry.weights(), now);
            }
        }
    }

    private Step toMessage(PlacementStep step) {
        Step.Builder message = Step.newBuilder()
                .setLoad(step.kind() == Order.Kind.LOAD)
                .setName(step.weights().nameText())
                .setVersion(step.weights().version())
                .setAdapter(step.weights().isAdapter())
                .setMegabytes(step.memoryMegabytes());
        if (step.weights() instanceof AdapterVersion adapter) {
            configuration
                    .get()
                    .adapter(new AdapterName(adapter.nameText()))
                    .ifPresent(configured -> message.setModel(configured.model().value()));
        }
        return message.build();
    }

    private FleetState state() {
        return FleetState.of(fleet.states(status), configuration.get(), demand.demand(nowMillis.getAsLong()));
    }

    private PlacementPlan compute(Term current, @Nullable PlacementPlan last) {
        Findings findings = new Findings();
        current.sequence++;
        PlanVersion version = new PlanVersion(current.ownership.fencing().value(), current.sequence);
        PlacementPlan next = planner.plan(state(), Optional.ofNullable(last), version, findings);
        if (!findings.toString().equals(lastFindings)) {
            lastFindings = findings.toString();
            findings.list()
                    .forEach(finding -> LogEvent.of("placement_finding")
                            .with("place", finding.place())
                            .with("message", finding.message())
                            .warn(LOGGER));
        }
        return next;
    }

    private void write(Term current, PlacementPlan next, long revision) throws JsonProcessingException {
        byte[] content = MAPPER.writeValueAsBytes(next);
        boolean applied = writer.write(PLAN_NAME, revision, content, Optional.empty())
                .blockingGet()
                .applied();
        if (applied && put(current, next)) {
            items.publish(
                    PLAN_NAME,
                    next.version().term() * SEQUENCES + next.version().sequence(),
                    content);
            LogEvent.of("plan_in_force")
                    .with("term", next.version().term())
                    .with("sequence", next.version().sequence())
                    .info(LOGGER);
        }
    }

    private boolean put(Term current, PlacementPlan next) {
        synchronized (lock) {
            boolean owner = current.equals(term) && current.ownership.isOwner(nowMillis.getAsLong());
            if (owner) {
                plan = next;
            }
            return owner;
        }
    }

    private WeightStoreLimits limits() {
        io.oleandermoor.state.configuration.WeightStoreLimits configured =
                configuration.get().settings().weightStore();
        return new WeightStoreLimits(
                configured.loadsPerThousandSeconds() / THOUSAND_SECONDS,
                configured.concurrentLoads(),
                configured.adapterLoadsInFlight(),
                PERMIT_MILLIS,
                PERMIT_REQUEST_MILLIS);
    }

    /** One term as owner. */
    private static final class Term {

        private final Ownership ownership;

        private final long sinceMillis;

        private final WeightStoreLimiter limiter;

        private long sequence;

        Term(Ownership ownership, long sinceMillis, WeightStoreLimiter limiter) {
            this.ownership = ownership;
            this.sinceMillis = sinceMillis;
            this.limiter = limiter;
        }
    }
}
