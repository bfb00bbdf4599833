package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Set;

/**
 * What routing needs to know from the member record of an agent. Records of one upstream are ordered by incarnation and
 * then by sequence.
 *
 * @param upstream the upstream beside the agent
 * @param failureDomain the failure domain of the upstream
 * @param incarnation start of the agent; a restarted agent has a larger one
 * @param sequence number of the record within the incarnation
 * @param status whether the upstream takes new work
 * @param readyTargets the models, adapters and services that are ready
 */
public record UpstreamRecord(
        UpstreamId upstream,
        FailureDomain failureDomain,
        long incarnation,
        long sequence,
        UpstreamStatus status,
        Set<RouteTarget> readyTargets) {

    /** Copies the set. */
    public UpstreamRecord {
        readyTargets = Set.copyOf(readyTargets);
    }

    boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
