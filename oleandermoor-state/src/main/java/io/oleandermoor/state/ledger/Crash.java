package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.UpstreamId;

/**
 * One crash of an upstream. Reporters of the same crash name the same upstream and incarnation.
 *
 * @param upstream the upstream
 * @param incarnation the incarnation of the upstream's process that crashed
 * @param atEpochMillis the time of the crash on the reporter's wall clock, in milliseconds
 */
public record Crash(UpstreamId upstream, long incarnation, long atEpochMillis) {

    boolean isSameAs(Crash other) {
        return incarnation == other.incarnation && upstream.equals(other.upstream);
    }
}
