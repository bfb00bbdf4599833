package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.WaitPolicy;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Since when models and adapters have been missing at all instances. Used on the event loop only. */
final class MissingTargetTracker {

    /** Time after which a target that was not asked for in vain again counts as missing anew. */
    private static final long MISSING_EXPIRY_MILLIS = 3_000;

    /** Time for which a refused request counts as demand, less than the time that it would have run. */
    private static final long REFUSAL_DEMAND_MILLIS = 600;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** Load time to expect of a model that the configuration does not name. */
    private static final long DEFAULT_LOAD_MILLIS = 6_000;

    private final DeploymentView view;
    private final Map<ModelTarget, Deque<Long>> refusals = new HashMap<>();
    private final Map<ModelTarget, MissingPeriod> missingPeriods = new HashMap<>();

    MissingTargetTracker(DeploymentView view) {
        this.view = view;
    }

    /** Notes a refusal. */
    void recordRefusal(ModelTarget target, long now) {
        refusals.computeIfAbsent(target, key -> new ArrayDeque<>()).addLast(now);
    }

    /** Returns the refusals of the last seconds; callers that come back are then counted by themselves. */
    Map<ModelTarget, Integer> recentRefusals(long now) {
        Map<ModelTarget, Integer> counts = new HashMap<>();
        refusals.values().removeIf(times -> {
            while (!times.isEmpty() && now - times.peekFirst() > REFUSAL_DEMAND_MILLIS) {
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

    void recordMissing(ModelTarget target, long now) {
        missingPeriods.values().removeIf(span -> now - span.lastMillis() > MISSING_EXPIRY_MILLIS);
        missingPeriods.merge(
                target, new MissingPeriod(now, now), (old, fresh) -> new MissingPeriod(old.firstMillis(), now));
    }

    /** Notes that an instance holds a target. */
    void recordPresent(ModelTarget target) {
        missingPeriods.remove(target);
    }

    long expectedAvailableMillis(String service, ModelTarget target, long now) {
        MissingPeriod span = missingPeriods.get(target);
        long missing = span == null ? 0 : now - span.firstMillis();
        if (target.isAdapter() && isModelResident(service, target.model())) {
            return WaitPolicy.expectedAdapterMillis(missing);
        }
        return WaitPolicy.expectedLoadMillis(expectedModelLoadMillis(service, target.model()), missing);
    }

    private boolean isModelResident(String service, String model) {
        return view.instances().all().stream()
                .anyMatch(state -> state.instance().service().equals(service)
                        && !state.instance().draining()
                        && state.models().containsKey(model));
    }

    private long expectedModelLoadMillis(String service, String model) {
        boolean atHand = view.instances().all().stream()
                .anyMatch(state -> state.instance().service().equals(service)
                        && !state.instance().draining()
                        && state.instance().weightsAtHand().contains(model));
        return view.document()
                .flatMap(document -> document.service(service))
                .flatMap(known -> known.engine())
                .map(engine -> engine.models().get(model))
                .map(profile -> (long) ((atHand ? profile.diskSeconds() : profile.loadSeconds()) * MILLIS_PER_SECOND))
                .orElse(DEFAULT_LOAD_MILLIS);
    }
}
