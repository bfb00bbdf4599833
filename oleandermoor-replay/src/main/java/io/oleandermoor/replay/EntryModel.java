package io.oleandermoor.replay;

import io.oleandermoor.state.admission.RetryBudget;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.AttemptEvent;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.Outcome;
import io.oleandermoor.state.ledger.RetryPermission;
import io.oleandermoor.state.rate.RateClient;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateDecision;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.routing.RouteChoice;
import io.oleandermoor.state.routing.RouteQuery;
import io.oleandermoor.state.routing.Router;
import io.oleandermoor.state.routing.RoutingSettings;
import io.oleandermoor.state.routing.RoutingTable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** One entry process: rate client, router and trackers are the real ones. */
final class EntryModel {

    private static final long TICK_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 500;
    /** Time for which a request waits for the rate owner. */
    private static final long PATIENCE_MILLIS = 800;

    final RoutingTable table = new RoutingTable();
    private final World world;
    private final RateOwnerModel owner;
    private final RateClientId id;
    private final FailureDomain domain;
    private final RateClient rates;
    private final Router router;
    private final RetryBudget budget = new RetryBudget(10, 10, 100);
    private final Map<RequestRun, Boolean> waiting = new LinkedHashMap<>();
    private final long startedMillis;
    private boolean registered;
    private boolean stopping;
    private boolean stopped;
    private int inFlight;

    EntryModel(World world, RateOwnerModel owner, int number, long incarnation) {
        this.world = world;
        this.owner = owner;
        this.id = new RateClientId(new InstanceId("entry-" + number), incarnation);
        this.domain = world.deployment
                .engines()
                .get(number % world.deployment.engines().size())
                .domain();
        long now = world.schedule.now();
        this.startedMillis = now;
        this.rates = new RateClient(owner.settings, id, now);
        this.rates.configure(owner.limits(), now);
        this.router = new Router(table, RoutingSettings.defaults(world.policies.routing()));
        world.fleet.engines.forEach(engine -> {
            if (engine.live) {
                table.update(world.fleet.record(engine), now);
            }
        });
        world.fleet.entries.add(this);
        tick();
        heartbeat();
    }

    InstanceId instance() {
        return id.instance();
    }

    RetryPermission retries() {
        return budget::tryRetry;
    }

    void configure() {
        rates.configure(owner.limits(), world.schedule.now());
    }

    /** Finishes what is in flight, then leaves. */
    void stop() {
        stopping = true;
    }

    /** Takes a request of a caller. */
    void accept(RequestRun run) {
        inFlight++;
        if (world.crashes.isBlocked(run.fingerprint(), world.schedule.now())) {
            world.measurements.blocked(run.request);
            answer(run, Outcome.NOT_RUN, Refusal.CONTENT);
            return;
        }
        reserve(run, false);
    }

    private void reserve(RequestRun run, boolean last) {
        long now = world.schedule.now();
        RateDecision decision = rates.reserve(run.request.team(), run.reservedTokens(), now);
        if (decision instanceof RateDecision.Granted granted) {
            waiting.remove(run);
            run.reservation = Optional.of(granted.reservation());
            route(run, Set.of(), 0);
        } else if (world.faults.contains(Fault.IGNORES_RATE)) {
            waiting.remove(run);
            world.measurements.spent(run.request.team(), now, run.request.tokens());
            route(run, Set.of(), 0);
        } else if (decision instanceof RateDecision.AskOwner && !last) {
            if (waiting.put(run, true) == null) {
                world.schedule.after(PATIENCE_MILLIS, () -> {
                    if (waiting.containsKey(run)) {
                        reserve(run, true);
                    }
                });
            }
            askOwner();
        } else {
            waiting.remove(run);
            answer(run, Outcome.NOT_RUN, Refusal.RATE);
        }
    }

    private void askOwner() {
        rates.nextRequest(world.schedule.now())
                .ifPresent(request -> world.schedule.after(World.MESSAGE_MILLIS, () -> deliver(request)));
    }

    private void deliver(RateRequest request) {
        owner.handle(request)
                .ifPresent(response -> world.schedule.after(World.MESSAGE_MILLIS, () -> {
                    if (rates.accept(response, world.schedule.now())) {
                        List.copyOf(waiting.keySet()).forEach(run -> reserve(run, false));
                    }
                }));
    }

    private void route(RequestRun run, Set<UpstreamId> excluded, int offset) {
        long now = world.schedule.now();
        TraceEvent.Request request = run.request;
        RouteQuery query = request.adapter()
                .map(adapter -> RouteQuery.forAdapter(adapter, request.model(), domain))
                .orElseGet(() -> RouteQuery.forModel(request.model(), domain))
                .withPrefix(run.prefix)
                .withExcluded(excluded);
        Optional<RouteChoice> choice = router.choose(query, now, world.random);
        if (choice.isEmpty()) {
            decide(run, run.tracker.on(new AttemptEvent.NoUpstream(0), now));
            return;
        }
        RouteChoice chosen = choice.get();
        run.choice = choice;
        run.dispatchedMillis = now;
        router.recordSend(chosen, run.prefix, now);
        AttemptKey key = run.tracker.begin(chosen.upstream(), chosen.incarnation(), now);
        EngineModel engine = world.fleet.engine(chosen.upstream());
        world.schedule.after(World.MESSAGE_MILLIS, () -> engine.dispatch(run, key, this, offset));
    }

    /** Takes a message of an agent. */
    void on(RequestRun run, AttemptEvent event) {
        long now = world.schedule.now();
        if (event instanceof AttemptEvent.ChunkArrived && run.firstTokenMillis < 0) {
            run.firstTokenMillis = now;
        }
        run.choice.ifPresent(choice -> report(run, event, choice));
        decide(run, run.tracker.on(event, now));
    }

    private void report(RequestRun run, AttemptEvent event, RouteChoice choice) {
        long now = world.schedule.now();
        EngineModel engine = world.fleet.engine(choice.upstream());
        if (event instanceof AttemptEvent.AgentDead) {
            router.recordFailure(choice, now);
        } else if (event instanceof AttemptEvent.Finished finished) {
            table.updateLoad(choice.upstream(), choice.incarnation(), engine.load());
            if (finished.result().reason().isComplete()) {
                budget.succeeded();
                router.recordSuccess(choice, now - run.dispatchedMillis, now);
            } else {
                router.recordFailure(choice, now);
            }
        }
    }

    private void decide(RequestRun run, AttemptDecision decision) {
        if (decision instanceof AttemptDecision.Retry retry) {
            world.measurements.retries++;
            if (world.crashes.isBlocked(run.fingerprint(), world.schedule.now())) {
                world.measurements.blocked(run.request);
                answer(run, Outcome.UNKNOWN, Refusal.CONTENT);
                return;
            }
            route(run, retry.excluded(), retry.resumeOffset());
        } else if (decision instanceof AttemptDecision.Reply reply) {
            answer(
                    run,
                    reply.outcome(),
                    reply.reason() == AttemptDecision.ReplyReason.COMPLETE ? Refusal.NONE : Refusal.UPSTREAM);
        }
    }

    private void answer(RequestRun run, Outcome outcome, Refusal refusal) {
        run.answers += world.faults.contains(Fault.ANSWERS_TWICE) ? 2 : 1;
        inFlight--;
        world.invariants.answered(run, outcome);
        run.reservation.ifPresent(reservation -> {
            long used = run.runs > 0 ? run.request.tokens() : 0;
            rates.settle(reservation, used);
            world.measurements.spent(run.request.team(), reservation.reservedMillis(), used);
        });
        world.measurements.answered(run, outcome, refusal);
    }

    private void tick() {
        long age = world.schedule.now() - startedMillis;
        if (!registered && world.storeAvailable && !stopping && age >= owner.settings.registrationDelayMillis()) {
            registered = true;
            owner.registrations.add(id);
            rates.registered(world.schedule.now());
        }
        askOwner();
        if (stopping && inFlight == 0 && !stopped) {
            stopped = true;
            // The registration is removed only when the process no longer uses its floor and the floor is not lent.
            long lentMillis = Math.max(0, rates.lentUntilMillis() - world.schedule.now());
            world.schedule.after(lentMillis, () -> owner.registrations.remove(id));
            world.fleet.entries.remove(this);
            return;
        }
        world.schedule.after(TICK_MILLIS, this::tick);
    }

    private void heartbeat() {
        if (stopped) {
            return;
        }
        for (EngineModel engine : new ArrayList<>(world.fleet.engines)) {
            if (engine.live) {
                engine.pump();
                table.updateLoad(engine.spec.id(), engine.incarnation, engine.load());
            }
        }
        world.schedule.after(HEARTBEAT_MILLIS, this::heartbeat);
    }
}
