package io.oleandermoor.coordination.membership;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.InstanceId;
import java.util.Optional;

/**
 * What a process tells about itself. Of two records of an instance the one with the larger (incarnation, sequence) is
 * valid.
 *
 * @param instance the instance on which the process runs
 * @param role what the process does
 * @param peerAddress IP address and port for peer connections
 * @param domain the failure domain of the instance
 * @param incarnation start time of the process in milliseconds since the epoch; larger after a restart
 * @param sequence number of the record within the incarnation, positive
 * @param status where the process is in its life
 * @param agent the upstream, if the process is an agent
 */
public record MemberRecord(
        InstanceId instance,
        MemberRole role,
        String peerAddress,
        FailureDomain domain,
        long incarnation,
        long sequence,
        MemberStatus status,
        Optional<AgentDetail> agent) {

    /** Number of records that one incarnation can have in an item's version: a change each 10 s for four months. */
    static final long SEQUENCES = 1L << 20;

    /** Checks incarnation, sequence and agent. */
    public MemberRecord {
        if (incarnation <= 0 || incarnation >= Long.MAX_VALUE / SEQUENCES) {
            throw new IllegalArgumentException("incarnation is out of range: " + incarnation);
        }
        if (sequence <= 0 || sequence >= SEQUENCES) {
            throw new IllegalArgumentException("sequence is out of range: " + sequence);
        }
        if (agent.isPresent() != (role == MemberRole.AGENT)) {
            throw new IllegalArgumentException("an agent, and only an agent, has an upstream: " + instance);
        }
    }

    /**
     * Returns the version of the item that carries this record. It orders records as (incarnation, sequence).
     *
     * @return the version
     */
    public long version() {
        return incarnation * SEQUENCES + sequence;
    }

    /**
     * Returns the next record of the same incarnation.
     *
     * @param newStatus the status
     * @param newAgent the upstream, if the process is an agent
     * @return the record with the next sequence
     */
    public MemberRecord next(MemberStatus newStatus, Optional<AgentDetail> newAgent) {
        return new MemberRecord(instance, role, peerAddress, domain, incarnation, sequence + 1, newStatus, newAgent);
    }

    boolean isNewerThan(MemberRecord other) {
        return version() > other.version();
    }
}
