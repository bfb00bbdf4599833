package io.oleandermoor.coordination.membership;

import io.oleandermoor.state.identity.InstanceId;

/** What the daemon has to do after the membership table has handled something. */
public sealed interface MembershipEvent {

    /**
     * A process appeared or changed. Routing and placement use the record.
     *
     * @param member the newest record
     */
    record Changed(MemberRecord member) implements MembershipEvent {}

    /**
     * A process is over. Its items are removed.
     *
     * @param member the last record
     */
    record Ended(MemberRecord member) implements MembershipEvent {}

    /**
     * A process is to be asked whether it answers, on a new connection.
     *
     * @param instance the process
     */
    record Probe(InstanceId instance) implements MembershipEvent {}

    /**
     * A suspicion is to be disseminated.
     *
     * @param suspicion the suspicion
     */
    record Publish(Suspicion suspicion) implements MembershipEvent {}

    /**
     * This process is suspected and refutes that by its next record, which is to be disseminated.
     *
     * @param own the next record
     */
    record Refute(MemberRecord own) implements MembershipEvent {}
}
