package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.UpstreamId;

/**
 * Crash of an upstream. All reports of the same crash have the same upstream and incarnation.
 *
 * @param upstream the upstream that crashed
 * @param incarnation the incarnation of the upstream process that crashed
 * @param atEpochMillis the time of the crash by the wall clock of the reporter, in milliseconds
 */
public record Crash(UpstreamId upstream, long incarnation, long atEpochMillis) {

    boolean isSameAs(Crash other) {
        return incarnation == other.incarnation && upstream.equals(other.upstream);
    }
}
