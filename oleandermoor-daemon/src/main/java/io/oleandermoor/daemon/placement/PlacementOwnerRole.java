package io.oleandermoor.daemon.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.lease.OwnedRole;
import io.oleandermoor.coordination.lease.Ownership;
import io.oleandermoor.coordination.store.StoreException;
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
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.DemandEstimate;
import io.oleandermoor.state.placement.EngineStatus;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.LoadPermitDecision;
import io.oleandermoor.state.placement.LoadPermitLimits;
import io.oleandermoor.state.placement.LoadPermitRequest;
import io.oleandermoor.state.placement.PlacementPlan;
import io.oleandermoor.state.placement.PlacementPlanner;
import io.oleandermoor.state.placement.PlacementPolicy;
import io.oleandermoor.state.placement.PlacementSettings;
import io.oleandermoor.state.placement.PlacementStep;
import io.oleandermoor.state.placement.PlanVersion;
import io.oleandermoor.state.placement.WeightStoreLimiter;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
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

    /** Name of the plan at the key-value service. */
    public static final String PLAN_NAME = "placement/plan";

    /** Validity of a grant, counted by the agent from when it sent its request, in milliseconds. */
    public static final int GRANT_VALID_MILLIS = 2_000;

    /**
     * Time after its election in which an owner grants nothing: the grants of the owner before have ended by then, and
     * all agents have reported.
     */
    static final long QUIET_MILLIS = 5_000;

    /** Time after the last request or notification of an agent after which it is notified again. */
    static final long NOTIFICATION_MILLIS = 1_000;

    private static final long PERMIT_MILLIS = 30_000;

    private static final long PERMIT_REQUEST_MILLIS = 5_000;

    private static final double THOUSAND_SECONDS = 1_000;

    private static final Logger LOGGER = LogManager.getLogger(PlacementOwnerRole.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Object lock = new Object();

    private final PlacementPlanner planner;

    private final StoredValue planValue;

    private final Supplier<Configuration> configuration;

    private final Function<UpstreamId, EngineStatus> status;

    private final LongSupplier nowMillis;

    private final Consumer<Ownership> announce;

    private final FleetView fleet = new FleetView();

    private final DemandKeeper demand;

    private final StepTable steps = new StepTable();

    private final Map<UpstreamId, Long> lastContactMillis = new HashMap<>();

    private @Nullable Term term;

    private @Nullable PlacementPlan plan;

    private String lastFindings = "";

    /**
     * Creates the role.
     *
     * @param planValue the plan at the key-value service, named {@link #PLAN_NAME}
     * @param demand collects and keeps the demand
     * @param configuration the configuration in force
     * @param status tells whether an engine can be used
     * @param nowMillis the monotonic clock in milliseconds
     * @param announce tells other processes about a new ownership
     */
    public PlacementOwnerRole(
            StoredValue planValue,
            DemandKeeper demand,
            Supplier<Configuration> configuration,
            Function<UpstreamId, EngineStatus> status,
            LongSupplier nowMillis,
            Consumer<Ownership> announce) {
        this.planner = new PlacementPlanner(PlacementPolicy.DEMAND, PlacementSettings.forEngines(2_000));
        this.planValue = planValue;
        this.demand = demand;
        this.configuration = configuration;
        this.status = status;
        this.nowMillis = nowMillis;
        this.announce = announce;
    }

    @Override
    public void started(Ownership ownership) {
        synchronized (lock) {
            term = new Term(ownership, nowMillis.getAsLong(), limits());
            plan = null;
            lastContactMillis.clear();
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
        demand.reported(entry, report, nowMillis.getAsLong());
    }

    /**
     * Plans again if anything has changed. The plan at the key-value service is read once in a term and after a refused
     * write. May block on the key-value service; called by one thread.
     */
    public void tick() {
        Term current;
        long now = nowMillis.getAsLong();
        synchronized (lock) {
            current = term;
            if (current == null
                    || !current.ownership.isOwner(now)
                    || now - current.sinceMillis < QUIET_MILLIS
                    || configuration.get().version() == 0) {
                return;
            }
            current.follow(limits(), now);
        }
        try {
            if (!current.begun) {
                demand.reset();
                planValue.forget();
                current.begun = true;
            }
            if (!planValue.isKnown()) {
                read(current);
            }
            demand.tick(now);
            planIfChanged(current);
        } catch (IOException | RuntimeException | StoreException exception) {
            LogEvent.of("placement_not_planned")
                    .with("reason", exception.getMessage())
                    .warn(LOGGER);
        }
    }

    private void read(Term current) throws IOException, StoreException {
        Optional<byte[]> content = planValue.read();
        current.stored = content.isPresent()
                ? Optional.of(MAPPER.readValue(content.get(), PlacementPlan.class))
                : Optional.empty();
        current.plannedFor = Optional.empty();
    }

    private void planIfChanged(Term current) throws JsonProcessingException {
        FleetState state;
        synchronized (lock) {
            current.demand = demand.demand(configuration.get().settings().openingHours(), nowMillis.getAsLong());
            state = state(current.demand);
        }
        if (current.plannedFor.filter(state::equals).isPresent()) {
            return;
        }
        PlacementPlan next = compute(current, state);
        Optional<PlacementPlan> last = current.stored;
        if (last.filter(plan -> plan.upstreams().equals(next.upstreams())).isPresent()) {
            put(current, last.get());
        } else if (!write(current, next)) {
            return;
        }
        current.plannedFor = Optional.of(state);
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
            lastContactMillis.put(upstream, now);
            List<Weights> abandoned = fleet.reported(upstream, residents, now);
            Term current = term;
            // The grant must end before another process can be the owner.
            if (current == null || !current.ownership.isOwner(now + GRANT_VALID_MILLIS)) {
                return grant.build();
            }
            grant.setOwner(true).setValidMillis(GRANT_VALID_MILLIS);
            releaseFinished(current, upstream, residents, now);
            // The grant has ended and the agent does not hold the weights, so it never started the load.
            abandoned.forEach(weights -> current.limiter.release(upstream, weights, now));
            PlacementPlan wanted = plan;
            if (wanted != null) {
                steps.steps(upstream, stepInput(current, wanted, now), () -> state(current.demand), now)
                        .ifPresent(computed -> grantSteps(current, computed, grant, now));
            }
        }
        return grant.build();
    }

    /**
     * Returns the engines whose agents should ask, because steps wait for them or granted steps were not reported. An
     * engine is returned again only if its agent has not asked within {@link #NOTIFICATION_MILLIS}.
     *
     * @return the engines, empty if this process is not the owner
     */
    public List<UpstreamId> enginesToNotify() {
        synchronized (lock) {
            long now = nowMillis.getAsLong();
            Term current = term;
            PlacementPlan wanted = plan;
            if (current == null || wanted == null || !current.ownership.isOwner(now + GRANT_VALID_MILLIS)) {
                return List.of();
            }
            List<UpstreamId> engines = Stream.concat(
                            steps.engines(stepInput(current, wanted, now), () -> state(current.demand), now).stream(),
                            fleet.withPendingSteps().stream())
                    .distinct()
                    .filter(engine ->
                            now - lastContactMillis.getOrDefault(engine, Long.MIN_VALUE / 2) >= NOTIFICATION_MILLIS)
                    .toList();
            engines.forEach(engine -> lastContactMillis.put(engine, now));
            return engines;
        }
    }

    private StepTable.Input stepInput(Term current, PlacementPlan wanted, long now) {
        return new StepTable.Input(wanted, fleet.revision(), current.limiter.availableLoads(now));
    }

    private void grantSteps(Term current, StepTable.Steps computed, StepGrant.Builder grant, long now) {
        for (PlacementStep step : computed.steps()) {
            if (!fleet.isPending(step.upstream(), step.weights()) && mayStart(current, step, computed.state(), now)) {
                fleet.granted(step.upstream(), step.weights(), step.memoryMegabytes(), step.kind(), now);
                grant.addSteps(toMessage(step));
            }
        }
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
                : state.demandOf(new ModelName(step.weights().nameText())).current();
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

    private FleetState state(Map<ModelName, DemandEstimate> expected) {
        return FleetState.of(fleet.states(status), configuration.get(), expected);
    }

    private PlacementPlan compute(Term current, FleetState state) {
        Findings findings = new Findings();
        current.sequence++;
        PlanVersion version = new PlanVersion(current.ownership.fencing().value(), current.sequence);
        PlacementPlan next = planner.plan(state, current.stored, version, findings);
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

    /** Writes a plan, which is in force only then. Returns whether this process is still the owner and wrote it. */
    private boolean write(Term current, PlacementPlan next) throws JsonProcessingException {
        byte[] content = MAPPER.writeValueAsBytes(next);
        if (!planValue.write(content)) {
            return false;
        }
        current.stored = Optional.of(next);
        if (!put(current, next)) {
            return false;
        }
        LogEvent.of("plan_in_force")
                .with("term", next.version().term())
                .with("sequence", next.version().sequence())
                .info(LOGGER);
        return true;
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

    private LoadPermitLimits limits() {
        io.oleandermoor.state.configuration.WeightStoreLimits configured =
                configuration.get().settings().weightStore();
        return new LoadPermitLimits(
                configured.loadsPerThousandSeconds() / THOUSAND_SECONDS,
                configured.concurrentLoads(),
                configured.adapterLoadsInFlight(),
                PERMIT_MILLIS,
                PERMIT_REQUEST_MILLIS);
    }

    /** One term as owner. What the planning thread alone uses is marked. */
    private static final class Term {

        private final Ownership ownership;

        private final long sinceMillis;

        private final WeightStoreLimiter limiter;

        private LoadPermitLimits limits;

        /** The demand that the plan in force was computed for, under the role's lock. */
        private Map<ModelName, DemandEstimate> demand = Map.of();

        /** Used by the planning thread: the number of the last plan. */
        private long sequence;

        /** Used by the planning thread: whether what earlier terms knew was forgotten. */
        private boolean begun;

        /** Used by the planning thread: the plan at the key-value service. */
        private Optional<PlacementPlan> stored = Optional.empty();

        /** Used by the planning thread: the state that the plan in force was computed for. */
        private Optional<FleetState> plannedFor = Optional.empty();

        Term(Ownership ownership, long sinceMillis, LoadPermitLimits limits) {
            this.ownership = ownership;
            this.sinceMillis = sinceMillis;
            this.limits = limits;
            this.limiter = new WeightStoreLimiter(limits, sinceMillis + QUIET_MILLIS);
        }

        /** Applies changed limits of the weight store. */
        void follow(LoadPermitLimits configured, long nowMillis) {
            if (!configured.equals(limits)) {
                limits = configured;
                limiter.updateLimits(configured, nowMillis);
            }
        }
    }
}
