package io.oleandermoor.state.routing;

import org.jspecify.annotations.Nullable;

/** Ways to choose among the ready copies of a target. All respect excluded and leaving upstreams. */
public enum RoutingPolicy {
    /** Takes the copies in turn. Baseline. */
    ROUND_ROBIN {
        @Override
        @Nullable
        Candidate select(UpstreamSelection selection) {
            return selection.nextRoundRobin();
        }
    },
    /** Takes the copy with the least reported load. Baseline; its cost grows with the number of copies. */
    LEAST_LOADED {
        @Override
        @Nullable
        Candidate select(UpstreamSelection selection) {
            return selection.leastLoaded();
        }
    },
    /** Weighs prefix affinity, load and locality of a few candidates, two of them random. */
    AFFINITY {
        @Override
        @Nullable
        Candidate select(UpstreamSelection selection) {
            return selection.cheapestOfSample();
        }
    };

    abstract @Nullable Candidate select(UpstreamSelection selection);
}
