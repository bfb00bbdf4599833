package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Set;

/**
 * The part of an agent's member record that routing uses. The records of an upstream are ordered by incarnation and
 * then by sequence number.
 *
 * @param upstream the upstream that the agent manages
 * @param failureDomain the failure domain of the upstream
 * @param incarnation start time of the agent; it increases with each restart
 * @param sequence sequence number of the record within the incarnation
 * @param status the lifecycle state of the upstream
 * @param readyTargets the models, adapters and plain services that are ready
 */
public record UpstreamRecord(
        UpstreamId upstream,
        FailureDomain failureDomain,
        long incarnation,
        long sequence,
        UpstreamStatus status,
        Set<RouteTarget> readyTargets) {

    /** Makes a defensive copy of the ready targets. */
    public UpstreamRecord {
        readyTargets = Set.copyOf(readyTargets);
    }

    boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
