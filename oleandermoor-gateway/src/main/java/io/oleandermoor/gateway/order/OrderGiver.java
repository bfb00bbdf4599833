package io.oleandermoor.gateway.order;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.peer.PeerExchange;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.fleet.UpstreamService;
import io.oleandermoor.state.residency.DemandBoard;
import io.oleandermoor.state.residency.EngineView;
import io.oleandermoor.state.residency.PlacementPolicy;
import io.oleandermoor.state.residency.PlannedOrder;
import io.oleandermoor.state.residency.PlanningPace;
import io.oleandermoor.state.residency.ResidencyPlanner;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Carries out the planner's orders while this entry holds the right to give them. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class OrderGiver {

    private static final Logger LOG = LogManager.getLogger(OrderGiver.class);
    private static final long PLAN_MILLIS = 50;
    /** Loads from the weight store beyond the steady rate that may start together. */
    private static final double LOAD_BURST = 2;

    /** Share of its time that this entry spends on weighing models; the rest is for requests and for adapters. */
    private static final double MODELS_SHARE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final DeploymentView view;
    private final DemandBoard demands;
    private final OrderLease lease;
    private final EngineClient engines;
    private final PeerExchange exchange;
    private final PlacementPolicy policy;
    private final Map<String, EngineOrders> orders = new HashMap<>();
    private final Map<String, ResidencyPlanner> planners = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private final PlanningPace pace = new PlanningPace(MODELS_SHARE);
    private double loadTokens;
    private long loadTokensMillis = Timestamp.monotonicNowMillis();

    /**
     * Creates a giver that has not started.
     *
     * @param loop the event loop
     * @param view what is believed of the deployment
     * @param demands the demand of all entries
     * @param lease the right to give orders
     * @param engines the client for orders
     * @param exchange tells the other entries what engines hold
     * @param policy how models are spread over engines
     */
    public OrderGiver(
            EventLoop loop,
            DeploymentView view,
            DemandBoard demands,
            OrderLease lease,
            EngineClient engines,
            PeerExchange exchange,
            PlacementPolicy policy) {
        this.loop = loop;
        this.view = view;
        this.demands = demands;
        this.lease = lease;
        this.engines = engines;
        this.exchange = exchange;
        this.policy = policy;
    }

    /** Starts to plan. */
    public void start() {
        loop.scheduleAtFixedRate(this::planSafely, PLAN_MILLIS, PLAN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void planSafely() {
        try {
            plan();
        } catch (RuntimeException exception) {
            // An exception would end the schedule, and with it all loads.
            LOG.error("event=plan_failed", exception);
        }
    }

    private void plan() {
        view.givesOrders(lease.holdsLease());
        if (!lease.holdsLease()) {
            if (!orders.isEmpty()) {
                orders.clear();
                exchange.notHolder();
            }
            return;
        }
        long now = Timestamp.monotonicNowMillis();
        demands.update(now);
        boolean withModels = pace.due(now);
        for (FleetDocument document : view.document().stream().toList()) {
            for (UpstreamService service : document.services()) {
                service.engine().ifPresent(profile -> plan(service.name(), profile, withModels, now));
            }
        }
        if (withModels) {
            pace.planned(now, Timestamp.monotonicNowMillis());
        }
    }

    private void plan(String service, EngineProfile profile, boolean withModels, long now) {
        if (!profile.equals(profiles.put(service, profile))) {
            planners.put(service, new ResidencyPlanner(profile, policy));
        }
        List<EngineView> views = new ArrayList<>();
        for (InstanceState state : view.instances().all()) {
            UpstreamInstance instance = state.instance();
            if (instance.service().equals(service) && !instance.draining()) {
                EngineOrders each = orders.computeIfAbsent(
                        instance.id() + "@" + instance.startedMillis(),
                        key -> new EngineOrders(loop, engines, state, models -> told(instance.id(), models)));
                each.refresh(state, now);
                views.add(each.view(view.instances().load(instance.id()), now));
            }
        }
        orders.values().removeIf(each -> view.instances().state(each.id()).isEmpty());
        if (!lease.mayOrder()) {
            return;
        }
        double accrued = (now - loadTokensMillis) / MILLIS_PER_SECOND * profile.loadsPerSecond();
        loadTokens = Math.min(LOAD_BURST, loadTokens + accrued);
        loadTokensMillis = now;
        ResidencyPlanner planner = planners.get(service);
        if (planner == null) {
            return;
        }
        List<PlannedOrder> planned = withModels
                ? planner.plan(views, demands.demands(), (int) loadTokens, now)
                : planner.planAdapters(views, demands.demands(), now);
        planned.forEach(order -> send(order, profile, now));
    }

    private void told(String id, Map<String, Set<String>> models) {
        view.instances().state(id).ifPresent(state -> state.ordered(models, Timestamp.monotonicNowMillis()));
        exchange.tellResidents(id, models);
        view.notifyChangeListeners();
    }

    private void send(PlannedOrder order, EngineProfile profile, long now) {
        for (EngineOrders each : orders.values()) {
            if (each.id().equals(order.engine())) {
                loadTokens -= order.fromWeightStore() ? 1 : 0;
                LOG.info(
                        "event=order instance={} unload={} target={} store={} sequence={} token={} reason=\"{}\"",
                        order.engine(),
                        order.unload(),
                        order.target(),
                        order.fromWeightStore(),
                        each.sequence(),
                        lease.token(),
                        order.reason());
                each.send(order, new EngineOrders.Term(view.entry(), lease.token()), profile, now);
            }
        }
    }
}
