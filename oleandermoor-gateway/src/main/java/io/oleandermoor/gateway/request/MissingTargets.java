package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.FleetView;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.WaitPolicy;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Since when models and adapters have been missing at all instances. Used on the event loop only. */
final class MissingTargets {

    /** Time after which a target that was not asked for in vain again counts as missing anew. */
    private static final long FORGET_MILLIS = 3_000;

    /** Time for which a refused request counts as demand, less than the time that it would have run. */
    private static final long REFUSAL_MILLIS = 600;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** Load time to expect of a model that the configuration does not name. */
    private static final long UNKNOWN_LOAD_MILLIS = 6_000;

    private final FleetView view;
    private final Map<ModelTarget, Deque<Long>> refusals = new HashMap<>();
    private final Map<ModelTarget, Span> spans = new HashMap<>();

    MissingTargets(FleetView view) {
        this.view = view;
    }

    /** Notes a refusal. */
    void refused(ModelTarget target, long now) {
        refusals.computeIfAbsent(target, key -> new ArrayDeque<>()).addLast(now);
    }

    /** Returns the refusals of the last seconds; callers that come back are then counted by themselves. */
    Map<ModelTarget, Integer> refusedLately(long now) {
        Map<ModelTarget, Integer> counts = new HashMap<>();
        refusals.values().removeIf(times -> {
            while (!times.isEmpty() && now - times.peekFirst() > REFUSAL_MILLIS) {
                times.removeFirst();
            }
            return times.isEmpty();
        });
        refusals.forEach((target, times) -> counts.put(target, times.size()));
        return counts;
    }

    private record Span(long firstMillis, long lastMillis) {}

    boolean isMissing(ModelTarget target) {
        return spans.containsKey(target);
    }

    void missing(ModelTarget target, long now) {
        spans.values().removeIf(span -> now - span.lastMillis() > FORGET_MILLIS);
        spans.merge(target, new Span(now, now), (old, fresh) -> new Span(old.firstMillis(), now));
    }

    /** Notes that an instance holds a target. */
    void present(ModelTarget target) {
        spans.remove(target);
    }

    long expectedMillis(String service, ModelTarget target, long now) {
        Span span = spans.get(target);
        long missing = span == null ? 0 : now - span.firstMillis();
        if (target.isAdapter() && modelHeld(service, target.model())) {
            return WaitPolicy.expectedAdapterLoadMillis(missing);
        }
        return WaitPolicy.expectedLoadMillis(loadMillis(service, target.model()), missing);
    }

    private boolean modelHeld(String service, String model) {
        return view.instances().states().stream()
                .anyMatch(state -> state.instance().service().equals(service)
                        && !state.instance().draining()
                        && state.models().containsKey(model));
    }

    private long loadMillis(String service, String model) {
        boolean atHand = view.instances().states().stream()
                .anyMatch(state -> state.instance().service().equals(service)
                        && !state.instance().draining()
                        && state.instance().modelsWithLocalWeights().contains(model));
        return view.document()
                .flatMap(document -> document.service(service))
                .flatMap(known -> known.engine())
                .map(engine -> engine.models().get(model))
                .map(profile -> (long) ((atHand ? profile.diskLoadSeconds() : profile.storeLoadSeconds()) * MILLIS_PER_SECOND))
                .orElse(UNKNOWN_LOAD_MILLIS);
    }
}
