package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Chooses an upstream for each request and adapts to the outcome of earlier requests. Callers must record each request
 * that they send and its outcome. Thread-safe; see {@link RoutingTable} for the lock.
 */
public final class Router {

    /** Number of successful requests to a copy between two comparisons of its latency with that of other copies. */
    private static final int LATENCY_COMPARISON_INTERVAL_RESULTS = 16;

    private final RoutingTable table;
    private final RoutingSettings settings;
    private final PrefixAffinity affinity;
    private final OutlierDetector detector;

    /**
     * Creates a router.
     *
     * @param table the routing table with the ready copies
     * @param settings the routing settings
     */
    public Router(RoutingTable table, RoutingSettings settings) {
        this.table = table;
        this.settings = settings;
        this.affinity = new PrefixAffinity(settings.affinityCapacity());
        this.detector = new OutlierDetector(settings.outliers());
    }

    /**
     * Chooses an upstream. The affinity policy chooses an ejected upstream only if none of the examined candidates is
     * available.
     *
     * @param query the requirements of the request
     * @param nowMillis the current time in milliseconds
     * @param random the random number generator used to sample candidates
     * @return the choice, empty if no ready upstream was found
     */
    public Optional<RouteChoice> choose(RouteQuery query, long nowMillis, UniformRandomProvider random) {
        UpstreamSelection selection = new UpstreamSelection(this, query, nowMillis, random);
        Candidate candidate = settings.policy().select(selection);
        if (candidate == null) {
            return Optional.empty();
        }
        UpstreamState upstream = candidate.copy().upstream;
        return Optional.of(new RouteChoice(
                upstream.id,
                upstream.incarnation,
                candidate.servedTarget(),
                candidate.cachedBlocks(),
                selection.examinedCount()));
    }

    /**
     * Records that a request was sent to the chosen upstream.
     *
     * @param choice the choice that the request was sent with
     * @param prefix the prompt prefix of the request
     * @param nowMillis the current time in milliseconds
     */
    public void recordSend(RouteChoice choice, PromptPrefix prefix, long nowMillis) {
        UpstreamState upstream = currentState(choice);
        if (upstream == null) {
            return;
        }
        table.runLocked(() -> {
            upstream.recordSend(nowMillis);
            detector.recordSend(upstream, nowMillis);
        });
        affinity.recordSend(upstream, prefix, nowMillis);
    }

    /**
     * Records that a request succeeded.
     *
     * @param choice the choice that the request was sent with
     * @param latencyMillis the time to the first token, or to the response of a plain service, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void recordSuccess(RouteChoice choice, double latencyMillis, long nowMillis) {
        UpstreamState upstream = currentState(choice);
        if (upstream == null) {
            return;
        }
        table.runLocked(() -> {
            detector.recordSuccess(upstream, nowMillis);
            ReadyCopy copy = upstream.copies().get(choice.servedTarget());
            CopyGroup group = table.group(choice.servedTarget());
            if (copy == null || group == null) {
                return;
            }
            copy.recordLatency(latencyMillis);
            boolean comparisonDue = copy.latencySampleCount() % LATENCY_COMPARISON_INTERVAL_RESULTS == 0;
            if (comparisonDue && detector.isSlow(copy, group, copy.latencySampleCount())) {
                boolean ejected =
                        detector.eject(upstream, nowMillis, () -> table.isEjectionAllowed(upstream, nowMillis));
                if (ejected) {
                    copy.clearLatency();
                }
            }
        });
    }

    /**
     * Records that a request failed because of the upstream.
     *
     * @param choice the choice that the request was sent with
     * @param nowMillis the current time in milliseconds
     */
    public void recordFailure(RouteChoice choice, long nowMillis) {
        UpstreamState upstream = currentState(choice);
        if (upstream != null) {
            table.runLocked(() ->
                    detector.recordFailure(upstream, nowMillis, () -> table.isEjectionAllowed(upstream, nowMillis)));
        }
    }

    /**
     * Applies a cache event of an engine. An event from another incarnation than the current one is ignored.
     *
     * @param upstream the upstream
     * @param incarnation the incarnation of the agent that sent the event
     * @param event the event
     */
    public void applyCacheEvent(UpstreamId upstream, long incarnation, CacheEvent event) {
        UpstreamState state = table.upstream(upstream);
        if (state != null && state.incarnation == incarnation) {
            affinity.applyCacheEvent(state, event);
        }
    }

    /**
     * Returns whether an upstream is currently ejected.
     *
     * @param upstream the upstream
     * @param nowMillis the current time in milliseconds
     * @return true if it receives no requests while other upstreams are available
     */
    public boolean isEjected(UpstreamId upstream, long nowMillis) {
        UpstreamState state = table.upstream(upstream);
        return state != null && detector.availability(state, nowMillis) == OutlierDetector.Availability.EJECTED;
    }

    RoutingTable table() {
        return table;
    }

    RoutingSettings settings() {
        return settings;
    }

    PrefixAffinity affinity() {
        return affinity;
    }

    OutlierDetector detector() {
        return detector;
    }

    private @Nullable UpstreamState currentState(RouteChoice choice) {
        UpstreamState state = table.upstream(choice.upstream());
        return state != null && state.incarnation == choice.incarnation() ? state : null;
    }
}
