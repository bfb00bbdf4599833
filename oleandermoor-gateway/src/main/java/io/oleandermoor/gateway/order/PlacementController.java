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
import io.oleandermoor.state.residency.DemandTracker;
import io.oleandermoor.state.residency.EngineView;
import io.oleandermoor.state.residency.PlacementOptions;
import io.oleandermoor.state.residency.PlannedOrder;
import io.oleandermoor.state.residency.PlanningThrottle;
import io.oleandermoor.state.residency.ResidencyPlanner;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Plans the models and adapters of all engines at a fixed interval and sends the resulting orders while this entry
 * holds the order lease. Must be used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class PlacementController {

    private static final Logger LOG = LogManager.getLogger(PlacementController.class);
    private static final long PLANNING_INTERVAL_MILLIS = 50;
    /** Maximum number of loads from the weight store that may start at once, above the steady rate. */
    private static final double MAXIMUM_LOAD_BURST = 2;

    /** Maximum fraction of the time spent on planning models; the rest is for requests and adapters. */
    private static final double MAXIMUM_MODEL_PLANNING_RATIO = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final DeploymentView view;
    private final DemandTracker demands;
    private final OrderLease lease;
    private final EngineClient engines;
    private final PeerExchange exchange;
    private final PlacementOptions options;
    private final Map<String, EngineOrderSender> senders = new HashMap<>();
    private final Map<String, ResidencyPlanner> planners = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private final PlanningThrottle modelPlanningThrottle = new PlanningThrottle(MAXIMUM_MODEL_PLANNING_RATIO);
    private double loadTokens;
    private long lastRefillMillis = Timestamp.monotonicNowMillis();

    /**
     * Creates a controller that is not started.
     *
     * @param loop the event loop
     * @param view the current view of the deployment
     * @param demands the demand reported by all entries
     * @param lease the lease under which this entry may give orders
     * @param engines the client that sends orders to engines
     * @param exchange sends the models that engines hold to the other entries
     * @param options how models are placed on engines
     */
    public PlacementController(
            EventLoop loop,
            DeploymentView view,
            DemandTracker demands,
            OrderLease lease,
            EngineClient engines,
            PeerExchange exchange,
            PlacementOptions options) {
        this.loop = loop;
        this.view = view;
        this.demands = demands;
        this.lease = lease;
        this.engines = engines;
        this.exchange = exchange;
        this.options = options;
    }

    /** Starts periodic planning. */
    public void start() {
        loop.scheduleAtFixedRate(
                this::planAndLogErrors, PLANNING_INTERVAL_MILLIS, PLANNING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void planAndLogErrors() {
        try {
            plan();
        } catch (RuntimeException exception) {
            // An uncaught exception would cancel the periodic task and thereby stop all loads.
            LOG.error("event=plan_failed", exception);
        }
    }

    private void plan() {
        view.givesOrders(lease.holdsLease());
        if (!lease.holdsLease()) {
            if (!senders.isEmpty()) {
                senders.clear();
                exchange.clearResidents();
            }
            return;
        }
        long now = Timestamp.monotonicNowMillis();
        demands.update(now);
        boolean includeModels = modelPlanningThrottle.isDue(now);
        for (FleetDocument document : view.document().stream().toList()) {
            for (UpstreamService service : document.services()) {
                service.engine().ifPresent(profile -> planService(service.name(), profile, includeModels, now));
            }
        }
        if (includeModels) {
            modelPlanningThrottle.recordPlan(now, Timestamp.monotonicNowMillis());
        }
    }

    private void planService(String service, EngineProfile profile, boolean includeModels, long now) {
        if (!profile.equals(profiles.put(service, profile))) {
            planners.put(service, new ResidencyPlanner(profile, options));
        }
        List<EngineView> views = engineViews(service, now);
        senders.values().removeIf(sender -> view.instances().state(sender.id()).isEmpty());
        if (!lease.mayGiveOrders()) {
            return;
        }
        double accruedTokens = (now - lastRefillMillis) / MILLIS_PER_SECOND * profile.storeLoadsPerSecond();
        loadTokens = Math.min(MAXIMUM_LOAD_BURST, loadTokens + accruedTokens);
        lastRefillMillis = now;
        ResidencyPlanner planner = planners.get(service);
        if (planner == null) {
            return;
        }
        List<PlannedOrder> planned = includeModels
                ? planner.plan(views, demands.demands(), (int) loadTokens, now)
                : planner.planAdapters(views, demands.demands(), now);
        planned.forEach(order -> send(order, profile, now));
    }

    private List<EngineView> engineViews(String service, long now) {
        List<EngineView> views = new ArrayList<>();
        for (InstanceState state : view.instances().states()) {
            UpstreamInstance instance = state.instance();
            if (!instance.service().equals(service)) {
                continue;
            }
            String run = instance.id() + "@" + instance.startedMillis();
            if (!view.instances().mayHoldModels(instance, now)) {
                // Once it may hold models again, a new sender reads its state, which nobody has followed meanwhile.
                senders.remove(run);
            } else if (!view.instances().isWithdrawn(instance, now) && !state.probablyGone()) {
                EngineOrderSender sender = senders.computeIfAbsent(
                        run,
                        key -> new EngineOrderSender(
                                loop, engines, state, models -> residentsChanged(instance.id(), models)));
                sender.refresh(state, now);
                views.add(sender.view(view.instances().load(instance.id()), now));
            }
        }
        return views;
    }

    private void residentsChanged(String id, Map<String, Set<String>> models) {
        view.instances()
                .state(id)
                .ifPresent(state -> state.updateOrderedModels(models, Timestamp.monotonicNowMillis()));
        exchange.reportResidents(id, models);
        view.notifyChangeListeners();
    }

    private void send(PlannedOrder order, EngineProfile profile, long now) {
        for (EngineOrderSender sender : senders.values()) {
            if (sender.id().equals(order.engine())) {
                loadTokens -= order.fromWeightStore() ? 1 : 0;
                LOG.info(
                        "event=order instance={} unload={} target={} store={} sequence={} token={} reason=\"{}\"",
                        order.engine(),
                        order.unload(),
                        order.target(),
                        order.fromWeightStore(),
                        sender.sequence(),
                        lease.fencingToken(),
                        order.reason());
                long token = lease.fencingToken();
                sender.send(
                        order,
                        new EngineOrderSender.LeaseHolder(view.entry(), token, () -> lease.permitsOrder(token)),
                        profile,
                        now);
            }
        }
    }
}
