package io.oleandermoor.state.routing;

import org.jspecify.annotations.Nullable;

/** Policies for choosing among the ready copies of a target. None chooses an excluded or leaving upstream. */
public enum RoutingPolicy {
    /** Chooses the copies in round-robin order. Serves as a baseline. */
    ROUND_ROBIN {
        @Override
        @Nullable
        Candidate select(UpstreamSelection selection) {
            return selection.nextRoundRobin();
        }
    },
    /**
     * Chooses the copy with the least reported load. Serves as a baseline; its cost grows with the number of copies.
     */
    LEAST_LOADED {
        @Override
        @Nullable
        Candidate select(UpstreamSelection selection) {
            return selection.leastLoaded();
        }
    },
    /**
     * Chooses the cheapest of a few candidates by prefix affinity, load and locality. Two of the candidates are random.
     */
    AFFINITY {
        @Override
        @Nullable
        Candidate select(UpstreamSelection selection) {
            return selection.cheapestOfSample();
        }
    };

    abstract @Nullable Candidate select(UpstreamSelection selection);
}
