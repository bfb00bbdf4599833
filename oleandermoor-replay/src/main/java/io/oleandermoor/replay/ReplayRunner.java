package io.oleandermoor.replay;

import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateLimit;
import io.oleandermoor.state.rate.RateSettings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Runs a trace through the decision cores under virtual time. Equal arguments give equal results. */
public final class ReplayRunner {

    /** Time in which the first copies are loaded before the trace starts. */
    static final long WARM_UP_MILLIS = 60_000;
    /** Time after the last event in which all requests must be answered. */
    private static final long DRAIN_MILLIS = 90_000;
    /**
     * Longest time without a ready copy of a model. Two loads of 3 s, the plan period, and the wait for the weight
     * store behind the copies of a lost failure domain.
     */
    private static final long REPAIR_MILLIS = 15_000;

    private static final long WATCH_MILLIS = 500;
    /** Percent of the requests of a team that the load balancer sends to one entry; the rest are spread. */
    private static final int STICKY_PERCENT = 60;

    private final World world;
    private final RateOwnerModel owner;
    private final List<EntryModel> entries = new ArrayList<>();
    private final TraceSource source;
    private long number;
    private long incarnations;

    /**
     * Creates a runner for one replay.
     *
     * @param source the trace
     * @param policies the policies
     * @param seed determines random choices of the router and the load balancer
     */
    public ReplayRunner(TraceSource source, Policies policies, long seed) {
        this(source, policies, seed, Set.of());
    }

    ReplayRunner(TraceSource source, Policies policies, long seed, Set<Fault> faults) {
        this.source = source;
        this.world = new World(source.deployment(), policies, seed, faults);
        int count = source.deployment().entries();
        RateSettings settings = RateSettings.defaults(count).withPolicy(policies.rate());
        this.owner = new RateOwnerModel(world, settings, world.initialLimits());
        for (int entry = 0; entry < count; entry++) {
            entries.add(new EntryModel(world, owner, entry, ++incarnations));
        }
    }

    /**
     * Replays the whole trace.
     *
     * @return the results, including broken invariants
     * @throws IOException if the trace cannot be read
     * @throws InvalidInputException if the trace has errors
     */
    public ReplayResult run() throws IOException, InvalidInputException {
        world.schedule.runUntil(WARM_UP_MILLIS);
        world.measurements.modelLoads = 0;
        recordResidency();
        world.schedule.every(WATCH_MILLIS, this::watch);
        long lastMillis = WARM_UP_MILLIS;
        Optional<TraceEvent> event = source.next();
        while (event.isPresent()) {
            lastMillis = WARM_UP_MILLIS + event.get().millis();
            world.schedule.runUntil(lastMillis);
            take(event.get());
            event = source.next();
        }
        world.measurements.timeline.ended(lastMillis);
        long moves = world.measurements.modelLoads;
        double unreachable = world.measurements.unreachableModelSeconds;
        world.schedule.runUntil(lastMillis + DRAIN_MILLIS);
        return result(moves, unreachable, (lastMillis - WARM_UP_MILLIS) / 1_000.0);
    }

    /**
     * Returns samples of the replay over time.
     *
     * @return the samples; those of a finished replay after {@link #run()}
     */
    public Timeline timeline() {
        return world.measurements.timeline.timeline(world.deployment);
    }

    private void recordResidency() {
        world.measurements.timeline.resident(world.schedule.now(), world.fleet.engines);
    }

    private void take(TraceEvent event) {
        long now = world.schedule.now();
        if (event instanceof TraceEvent.Request request) {
            boolean withinRate = world.measurements.arrive(request, now);
            EntryModel entry = entries.get(entryFor(request.team()));
            world.fleet.arrived(request);
            entry.accept(new RequestRun(request, ++number, withinRate, entry.retries(), now));
        } else if (event instanceof TraceEvent.TeamChanged changed) {
            world.measurements.limit(changed.team(), now);
            owner.configure(
                    changed.team().name(),
                    new RateLimit(changed.team().rate(), changed.team().burst()));
            entries.forEach(EntryModel::configure);
        } else if (event instanceof TraceEvent.UpstreamChanged changed) {
            setLive(world.fleet.engine(changed.upstream()), changed.live());
        } else if (event instanceof TraceEvent.DomainChanged changed) {
            world.fleet.engines.stream()
                    .filter(engine -> engine.spec.domain().equals(changed.domain()))
                    .forEach(engine -> setLive(engine, changed.live()));
        } else if (event instanceof TraceEvent.StoreChanged changed) {
            world.storeAvailable = changed.available();
        } else if (event instanceof TraceEvent.EntryReplaced replaced) {
            entries.get(replaced.entry()).stop();
            entries.set(replaced.entry(), new EntryModel(world, owner, replaced.entry(), ++incarnations));
        }
    }

    private static void setLive(EngineModel engine, boolean live) {
        if (live) {
            engine.comeBack();
        } else {
            engine.lose();
        }
    }

    private int entryFor(TeamName team) {
        int index = world.random.nextInt(100) < STICKY_PERCENT
                ? team.value().hashCode()
                : world.random.nextInt(entries.size());
        return Math.floorMod(index, entries.size());
    }

    private void watch() {
        recordResidency();
        for (Model model : world.deployment.models()) {
            if (world.faults.contains(Fault.LOSES_MODEL)
                    && model.equals(world.deployment.models().get(0))) {
                world.fleet.engines.forEach(engine -> engine.ready
                        .keySet()
                        .removeIf(weights ->
                                weights.nameText().equals(model.name().value())));
            }
            boolean reachable = world.fleet.isReachable(model.name());
            world.invariants.reachable(model.name(), reachable, REPAIR_MILLIS);
            world.measurements.unreachableModelSeconds += reachable ? 0 : WATCH_MILLIS / 1_000.0;
        }
    }

    private ReplayResult result(long moves, double unreachable, double seconds) {
        Measurements measured = world.measurements;
        long over = measured.tokensOverLimit();
        world.invariants.check(over == 0, over + " tokens over the limit of a team");
        world.invariants.check(
                measured.answered == measured.requests,
                measured.requests + " requests got " + measured.answered + " answers");
        Map<TeamName, Double> attainment = new TreeMap<>();
        List<ReplayResult.Times> times = new ArrayList<>();
        measured.teams.forEach((name, team) -> {
            attainment.put(name, team.attainment());
            team.firstToken.forEach((requestClass, firstToken) -> {
                Histogram queue = team.queue.getOrDefault(requestClass, firstToken);
                times.add(new ReplayResult.Times(
                        name,
                        requestClass,
                        firstToken.getValueAtPercentile(50),
                        firstToken.getValueAtPercentile(99),
                        queue.getValueAtPercentile(50),
                        queue.getValueAtPercentile(99)));
            });
        });
        double mean = attainment.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
        double least = attainment.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(1);
        return new ReplayResult(
                measured.requests,
                measured.answered,
                measured.attainedTokens / Math.max(1, seconds) / world.fleet.engines.size(),
                moves,
                mean == 0 ? 0 : least / mean,
                measured.teams.values().stream()
                        .mapToLong(team -> team.wrongful)
                        .sum(),
                measured.teams.values().stream()
                        .mapToLong(team -> team.wrongfulByRate)
                        .sum(),
                over,
                unreachable,
                measured.crashes,
                measured.blocked,
                measured.blockedOthers,
                attainment,
                times,
                world.invariants.violations());
    }
}
