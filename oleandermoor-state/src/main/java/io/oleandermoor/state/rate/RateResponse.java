package io.oleandermoor.state.rate;

import java.util.List;

/**
 * Response of a rate owner, or of a pool of contributed floors if the process does not own the group but states a
 * validity.
 *
 * @param sequence sequence of the request
 * @param owner whether the responding process holds the lease
 * @param term fencing number of the owner, or of the expired ownership of the pool; 0 for neither
 * @param validMillis validity of all tokens that the entry holds, or of the contribution of its floor to the pool,
 *     measured by the entry from when it sent the request; 0 for neither
 * @param grants one element for each demand that needed or wanted tokens
 */
public record RateResponse(long sequence, boolean owner, long term, long validMillis, List<TeamGrant> grants) {

    /** Copies the grants into an immutable list. */
    public RateResponse {
        grants = List.copyOf(grants);
    }

    /** Returns whether the responding process is a pool of contributed floors. */
    boolean pool() {
        return !owner && validMillis > 0;
    }

    static RateResponse notOwner(long sequence) {
        return new RateResponse(sequence, false, 0, 0, List.of());
    }
}
