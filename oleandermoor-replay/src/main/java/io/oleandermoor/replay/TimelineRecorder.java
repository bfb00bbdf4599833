package io.oleandermoor.replay;

import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.memory.ModelVersion;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Records samples of a replay over time in bounded memory: when all intervals are in use, neighbours are merged and the
 * interval doubles. The length of a trace need not be known before.
 */
final class TimelineRecorder {

    /** Enough for a plot of 1,000 pixels; an interval of a generated day is then about ten recorded minutes. */
    static final int MAXIMUM_SAMPLES = 240;

    private static final long FIRST_INTERVAL_MILLIS = 500;

    private static final int NEIGHBOURS = 2;

    private final long startMillis;
    private long endMillis = Long.MAX_VALUE;
    private long intervalMillis = FIRST_INTERVAL_MILLIS;
    private List<Sample> samples = new ArrayList<>();

    TimelineRecorder(long startMillis) {
        this.startMillis = startMillis;
    }

    private static final class OfTeam {
        private long entitledTokens;
        private long attainedTokens;
        private final Map<RequestClass, Long> started = new EnumMap<>(RequestClass.class);
        private final Map<RequestClass, Long> queueMillis = new EnumMap<>(RequestClass.class);
        private final Map<Refusal, Long> refusals = new EnumMap<>(Refusal.class);

        private void add(OfTeam other) {
            entitledTokens += other.entitledTokens;
            attainedTokens += other.attainedTokens;
            other.started.forEach((requestClass, count) -> started.merge(requestClass, count, Long::sum));
            other.queueMillis.forEach((requestClass, millis) -> queueMillis.merge(requestClass, millis, Long::sum));
            other.refusals.forEach((reason, count) -> refusals.merge(reason, count, Long::sum));
        }

        private double attainment() {
            return entitledTokens == 0 ? Double.NaN : Math.min(1, (double) attainedTokens / entitledTokens);
        }

        private double meanQueueMillis(RequestClass requestClass) {
            long count = started.getOrDefault(requestClass, 0L);
            return count == 0 ? Double.NaN : (double) queueMillis.getOrDefault(requestClass, 0L) / count;
        }
    }

    private static final class Sample {
        private final Map<TeamName, OfTeam> teams = new HashMap<>();
        private long modelMoves;
        private Set<Timeline.Copy> residency = Set.of();
        private boolean residencySampled;

        private OfTeam ofTeam(TeamName team) {
            return teams.computeIfAbsent(team, name -> new OfTeam());
        }

        private void add(Sample later) {
            later.teams.forEach((name, team) -> ofTeam(name).add(team));
            modelMoves += later.modelMoves;
            if (!residencySampled) {
                residency = later.residency;
                residencySampled = later.residencySampled;
            }
        }
    }

    void entitled(TraceEvent.Request request, long nowMillis) {
        at(nowMillis).ofTeam(request.team()).entitledTokens += request.tokens();
    }

    void answered(RequestRun run, Refusal refusal) {
        OfTeam team = at(run.arrivedMillis).ofTeam(run.request.team());
        if (refusal != Refusal.NONE) {
            team.refusals.merge(refusal, 1L, Long::sum);
        } else if (run.isAttained()) {
            team.attainedTokens += run.request.tokens();
        }
        if (run.hasStarted()) {
            team.started.merge(run.request.requestClass(), 1L, Long::sum);
            team.queueMillis.merge(run.request.requestClass(), run.queueMillis, Long::sum);
        }
    }

    /** Counts a load of a model, unless it belongs to the warm-up or comes after the end of the trace. */
    void modelLoaded(long nowMillis) {
        if (nowMillis > startMillis && nowMillis <= endMillis) {
            at(nowMillis).modelMoves++;
        }
    }

    /** Takes the ready copies once in each interval. */
    void resident(long nowMillis, List<EngineModel> engines) {
        if (nowMillis > endMillis) {
            return;
        }
        Sample sample = at(nowMillis);
        if (sample.residencySampled) {
            return;
        }
        Set<Timeline.Copy> copies = new HashSet<>();
        for (EngineModel engine : engines) {
            engine.ready.keySet().forEach(weights -> {
                if (weights instanceof ModelVersion model) {
                    copies.add(new Timeline.Copy(model.name(), engine.spec.id()));
                }
            });
        }
        sample.residency = copies;
        sample.residencySampled = true;
    }

    /** States when the trace ended; what arrives later is not sampled. */
    void ended(long millis) {
        at(millis);
        endMillis = millis;
    }

    private Sample at(long millis) {
        long index = index(millis);
        while (index >= MAXIMUM_SAMPLES) {
            merge();
            index = index(millis);
        }
        while (samples.size() <= index) {
            samples.add(new Sample());
        }
        return samples.get((int) index);
    }

    private long index(long millis) {
        return Math.max(0, millis - startMillis) / intervalMillis;
    }

    private void merge() {
        List<Sample> merged = new ArrayList<>();
        for (int index = 0; index < samples.size(); index++) {
            if (index % 2 == 0) {
                merged.add(samples.get(index));
            } else {
                merged.get(index / 2).add(samples.get(index));
            }
        }
        samples = merged;
        intervalMillis *= 2;
    }

    Timeline timeline(Deployment deployment) {
        Map<TeamName, Timeline.OfTeam> teams = new TreeMap<>();
        for (Team team : deployment.teams()) {
            teams.put(team.name(), ofTeam(team.name()));
        }
        return new Timeline(
                intervalMillis,
                deployment.timeFactor(),
                teams,
                samples.stream().map(sample -> sample.modelMoves).toList(),
                samples.stream().map(sample -> Set.copyOf(sample.residency)).toList());
    }

    private Timeline.OfTeam ofTeam(TeamName name) {
        Map<RequestClass, List<Double>> queues = new EnumMap<>(RequestClass.class);
        for (RequestClass requestClass : RequestClass.values()) {
            queues.put(requestClass, values(name, team -> team.meanQueueMillis(requestClass)));
        }
        Map<Refusal, List<Long>> refusals = new EnumMap<>(Refusal.class);
        for (Refusal reason : Refusal.values()) {
            if (reason != Refusal.NONE) {
                refusals.put(
                        reason,
                        samples.stream()
                                .map(sample -> sample.ofTeam(name).refusals.getOrDefault(reason, 0L))
                                .toList());
            }
        }
        return new Timeline.OfTeam(values(name, OfTeam::attainment), queues, refusals);
    }

    /** Returns a ratio for each interval, taken over its neighbours too: few requests of a small team are noisy. */
    private List<Double> values(TeamName name, ToDoubleFunction<OfTeam> value) {
        List<Double> values = new ArrayList<>();
        for (int index = 0; index < samples.size(); index++) {
            OfTeam sum = new OfTeam();
            int last = Math.min(samples.size() - 1, index + NEIGHBOURS);
            for (int near = Math.max(0, index - NEIGHBOURS); near <= last; near++) {
                sum.add(samples.get(near).ofTeam(name));
            }
            values.add(value.applyAsDouble(sum));
        }
        return values;
    }
}
