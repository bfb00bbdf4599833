package io.oleandermoor.replay;

import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.MemoryDecision;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.OrderResult;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.DemandForecaster;
import io.oleandermoor.state.placement.DemandHistory;
import io.oleandermoor.state.placement.EngineState;
import io.oleandermoor.state.placement.EngineStatus;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.LoadPermitDecision;
import io.oleandermoor.state.placement.LoadPermitRequest;
import io.oleandermoor.state.placement.ModelDemand;
import io.oleandermoor.state.placement.PlacementPlan;
import io.oleandermoor.state.placement.PlacementPlanner;
import io.oleandermoor.state.placement.PlacementSettings;
import io.oleandermoor.state.placement.PlacementStep;
import io.oleandermoor.state.placement.PlanVersion;
import io.oleandermoor.state.placement.StepPlanner;
import io.oleandermoor.state.placement.WeightStoreLimiter;
import io.oleandermoor.state.routing.RouteTarget;
import io.oleandermoor.state.routing.UpstreamRecord;
import io.oleandermoor.state.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** All engines, and the placement owner that plans and takes the steps. */
final class FleetModel {

    private static final long PLAN_MILLIS = 3_000;
    private static final long STEP_MILLIS = 500;
    private static final long MODEL_LOAD_MILLIS = 3_000;
    private static final long ADAPTER_LOAD_MILLIS = 5;
    private static final long UNLOAD_MILLIS = 100;
    private static final long DISSEMINATION_MILLIS = 20;
    private static final long HEARTBEAT_TIMEOUT_MILLIS = 2_000;
    /** Tokens/s of an engine as the planner knows it: what the fake serves with all slots in use. */
    private static final double ENGINE_TOKENS_PER_SECOND = 2_400;

    private static final int SAMPLES = 6;
    /** Samples ahead for which the demand is forecast. */
    private static final int HORIZON = 2;

    final List<EngineModel> engines;
    final List<EntryModel> entries = new ArrayList<>();
    private final Map<UpstreamId, EngineModel> byId = new HashMap<>();
    private final Map<UpstreamId, Long> sequences = new HashMap<>();
    private final Map<ModelName, Long> arrived = new TreeMap<>();
    private final Map<ModelName, List<Double>> samples = new TreeMap<>();
    private final Map<ModelName, ModelDemand> demand = new TreeMap<>();
    private final World world;
    private final PlacementPlanner planner;
    private final WeightStoreLimiter limiter;
    private PlacementPlan plan = new PlacementPlan(new PlanVersion(1, 0), new TreeMap<>());

    FleetModel(World world) {
        this.world = world;
        this.planner = new PlacementPlanner(
                world.policies.placement(), PlacementSettings.forEngines(ENGINE_TOKENS_PER_SECOND));
        this.limiter = new WeightStoreLimiter(world.deployment.weightStore(), 0);
        this.engines = world.deployment.engines().stream()
                .map(spec -> new EngineModel(world, spec))
                .toList();
        engines.forEach(engine -> byId.put(engine.spec.id(), engine));
        world.schedule.after(0, this::plan);
        world.schedule.every(PLAN_MILLIS, this::plan);
        world.schedule.every(STEP_MILLIS, this::step);
    }

    EngineModel engine(UpstreamId id) {
        EngineModel engine = byId.get(id);
        if (engine == null) {
            throw new IllegalArgumentException("no upstream " + id);
        }
        return engine;
    }

    void arrived(TraceEvent.Request request) {
        arrived.merge(request.model(), (long) request.tokens(), Long::sum);
    }

    boolean isReachable(ModelName model) {
        return engines.stream().anyMatch(engine -> engine.isReady(model));
    }

    void lost(EngineModel engine) {
        world.schedule.after(HEARTBEAT_TIMEOUT_MILLIS, () -> {
            if (!engine.live) {
                entries.forEach(entry -> entry.table.remove(engine.spec.id(), world.schedule.now()));
            }
        });
    }

    /** Tells all entries what is ready on an engine. */
    void publish(EngineModel engine) {
        UpstreamRecord record = record(engine);
        world.schedule.after(
                DISSEMINATION_MILLIS, () -> entries.forEach(entry -> entry.table.update(record, world.schedule.now())));
    }

    UpstreamRecord record(EngineModel engine) {
        Set<RouteTarget> targets = new HashSet<>();
        for (EngineListing.Entry entry : engine.account.residents()) {
            if (entry.residency() == Residency.READY) {
                targets.add(target(entry.weights()));
            }
        }
        long sequence = sequences.merge(engine.spec.id(), 1L, Long::sum);
        return new UpstreamRecord(
                engine.spec.id(), engine.spec.domain(), engine.incarnation, sequence, UpstreamStatus.READY, targets);
    }

    private static RouteTarget target(Weights weights) {
        return weights instanceof ModelVersion model
                ? new RouteTarget.OfModel(model.name())
                : new RouteTarget.OfAdapter(((AdapterVersion) weights).name());
    }

    private void plan() {
        for (Model model : world.deployment.models()) {
            List<Double> recent = samples.computeIfAbsent(model.name(), name -> new ArrayList<>());
            recent.add(arrived.getOrDefault(model.name(), 0L) * 1_000.0 / PLAN_MILLIS);
            if (recent.size() > SAMPLES) {
                recent.remove(0);
            }
            double present =
                    recent.stream().mapToDouble(Double::doubleValue).average().orElse(0);
            double forecast = DemandForecaster.forecast(new DemandHistory(List.of(), recent), List.of(), 0, HORIZON);
            demand.put(model.name(), new ModelDemand(present, Math.min(forecast, 2 * present)));
        }
        arrived.clear();
        // The plan is written by compare-and-swap, so the plan in force stays during an outage.
        if (world.storeAvailable) {
            PlanVersion version = new PlanVersion(1, plan.version().sequence() + 1);
            plan = planner.plan(state(), Optional.of(plan), version, new Findings());
        }
    }

    private FleetState state() {
        return new FleetState(
                engines.stream()
                        .map(engine -> new EngineState(
                                engine.spec.id(),
                                engine.spec.domain(),
                                engine.spec.memoryMegabytes(),
                                engine.live ? EngineStatus.LIVE : EngineStatus.DOWN,
                                engine.live ? engine.account.residents() : List.of()))
                        .toList(),
                world.deployment.models(),
                world.deployment.adapters(),
                demand);
    }

    private void step() {
        // Orders are recorded in the key-value service before they are sent.
        if (!world.storeAvailable) {
            return;
        }
        long now = world.schedule.now();
        for (PlacementStep step : StepPlanner.steps(plan, state(), limiter.startable(now))) {
            if (step.kind() == Order.Kind.LOAD) {
                load(step);
            } else {
                unload(step);
            }
        }
    }

    private void load(PlacementStep step) {
        long now = world.schedule.now();
        EngineModel engine = engine(step.upstream());
        LoadPermitDecision permit = limiter.request(new LoadPermitRequest(step.upstream(), step.weights(), 0, 0), now);
        if (!(permit instanceof LoadPermitDecision.Granted)) {
            return;
        }
        MemoryDecision decision = engine.account.load(step.weights(), step.memoryMegabytes(), now);
        if (!(decision instanceof MemoryDecision.Send send) || !engine.account.isSendAllowed(send.order(), now)) {
            limiter.release(step.upstream(), step.weights(), now);
            return;
        }
        boolean isAdapter = step.weights().isAdapter();
        if (!isAdapter) {
            world.measurements.modelLoads++;
            world.measurements.timeline.modelLoaded(now);
        }
        long incarnation = engine.incarnation;
        int factor = world.faults.contains(Fault.TAKES_DOUBLE_MEMORY) ? 2 : 1;
        engine.take(step.weights(), factor * step.memoryMegabytes());
        engine.account.recordSendEnd(send.order(), now);
        world.schedule.after(isAdapter ? ADAPTER_LOAD_MILLIS : MODEL_LOAD_MILLIS, () -> {
            limiter.release(step.upstream(), step.weights(), world.schedule.now());
            if (engine.live && engine.incarnation == incarnation) {
                engine.ready.put(step.weights(), true);
                engine.account.applyResult(send.order(), OrderResult.DONE);
                publish(engine);
            }
        });
    }

    private void unload(PlacementStep step) {
        EngineModel engine = engine(step.upstream());
        MemoryDecision decision = engine.account.unload(step.weights(), world.schedule.now());
        if (!(decision instanceof MemoryDecision.Send send)) {
            return;
        }
        publish(engine);
        long incarnation = engine.incarnation;
        world.schedule.after(UNLOAD_MILLIS, () -> {
            if (engine.live && engine.incarnation == incarnation) {
                engine.free(step.weights());
                engine.account.applyResult(send.order(), OrderResult.DONE);
            }
        });
    }
}
