package io.oleandermoor.state.rate;

import java.util.List;

/**
 * Response of a rate owner, or of a pool of lent floors when the process does not own the group but states a validity.
 *
 * @param sequence sequence of the request
 * @param owner whether the responding process holds the lease
 * @param term fencing number of the owner, or of the lapsed ownership of the pool; 0 for neither
 * @param validMillis validity of all tokens that the entry holds, or of the loan of its floor to the pool, counted by
 *     the entry from when it sent the request; 0 for neither
 * @param grants one element for each demand that needed or wanted tokens
 */
public record RateResponse(long sequence, boolean owner, long term, long validMillis, List<TeamGrant> grants) {

    /** Copies the list. */
    public RateResponse {
        grants = List.copyOf(grants);
    }

    /** Returns whether the responding process distributes lent floors. */
    boolean pool() {
        return !owner && validMillis > 0;
    }

    static RateResponse notOwner(long sequence) {
        return new RateResponse(sequence, false, 0, 0, List.of());
    }
}
