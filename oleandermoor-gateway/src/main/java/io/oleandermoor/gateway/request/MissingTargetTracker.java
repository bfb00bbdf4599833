package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.WaitPolicy;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Tracks since when models and adapters have been missing at all instances. Used on the event loop only. */
final class MissingTargetTracker {

    /** Time without a failed request for a target after which its missing period restarts. */
    private static final long MISSING_EXPIRY_MILLIS = 3_000;

    /** Assumed run time of a request before any has completed. */
    private static final double DEFAULT_RUN_MILLIS = 600;
    /** Weight of the latest run time in the average. */
    private static final double RUN_TIME_WEIGHT = 0.02;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** Expected load time of a model that the configuration does not name. */
    private static final long DEFAULT_LOAD_MILLIS = 6_000;

    private final DeploymentView view;
    private final Map<ModelTarget, Deque<Long>> refusals = new HashMap<>();
    private double averageRunMillis = DEFAULT_RUN_MILLIS;
    private final Map<ModelTarget, MissingPeriod> missingPeriods = new HashMap<>();

    MissingTargetTracker(DeploymentView view) {
        this.view = view;
    }

    /** Records that a request for a target was refused. */
    void recordRefusal(ModelTarget target, long nowMillis) {
        refusals.computeIfAbsent(target, key -> new ArrayDeque<>()).addLast(nowMillis);
    }

    /** Records how long a request with a target ran. */
    void recordRun(long runMillis) {
        averageRunMillis += RUN_TIME_WEIGHT * (runMillis - averageRunMillis);
    }

    /**
     * Counts the recent refusals by target. A refused request counts for as long as requests run on average, so that
     * the demand for a missing model is comparable with that for a held one, whose running requests count.
     */
    Map<ModelTarget, Integer> recentRefusals(long nowMillis) {
        Map<ModelTarget, Integer> counts = new HashMap<>();
        refusals.values().removeIf(times -> {
            while (!times.isEmpty() && nowMillis - times.peekFirst() > averageRunMillis) {
                times.removeFirst();
            }
            return times.isEmpty();
        });
        refusals.forEach((target, times) -> counts.put(target, times.size()));
        return counts;
    }

    private record MissingPeriod(long firstMillis, long lastMillis) {}

    boolean isMissing(ModelTarget target) {
        return missingPeriods.containsKey(target);
    }

    void recordMissing(ModelTarget target, long nowMillis) {
        missingPeriods.values().removeIf(period -> nowMillis - period.lastMillis() > MISSING_EXPIRY_MILLIS);
        missingPeriods.merge(
                target,
                new MissingPeriod(nowMillis, nowMillis),
                (old, ignored) -> new MissingPeriod(old.firstMillis(), nowMillis));
    }

    /** Records that an instance holds a target. */
    void recordPresent(ModelTarget target) {
        missingPeriods.remove(target);
    }

    long expectedAvailableMillis(String service, ModelTarget target, long nowMillis) {
        MissingPeriod period = missingPeriods.get(target);
        long missingMillis = period == null ? 0 : nowMillis - period.firstMillis();
        if (target.isAdapter() && isModelResident(service, target.model(), nowMillis)) {
            return WaitPolicy.expectedAdapterLoadMillis(missingMillis);
        }
        return WaitPolicy.expectedLoadMillis(
                expectedModelLoadMillis(service, target.model(), nowMillis), missingMillis);
    }

    private boolean isModelResident(String service, String model, long nowMillis) {
        return view.instances().states().stream()
                .anyMatch(state -> state.instance().service().equals(service)
                        && !view.instances().isWithdrawn(state.instance(), nowMillis)
                        && state.models().containsKey(model));
    }

    private long expectedModelLoadMillis(String service, String model, long nowMillis) {
        boolean weightsLocal = view.instances().states().stream()
                .anyMatch(state -> state.instance().service().equals(service)
                        && !view.instances().isWithdrawn(state.instance(), nowMillis)
                        && state.instance().modelsWithLocalWeights().contains(model));
        return view.document()
                .flatMap(document -> document.service(service))
                .flatMap(known -> known.engine())
                .map(engine -> engine.models().get(model))
                .map(profile -> (long)
                        ((weightsLocal ? profile.diskLoadSeconds() : profile.storeLoadSeconds()) * MILLIS_PER_SECOND))
                .orElse(DEFAULT_LOAD_MILLIS);
    }
}
