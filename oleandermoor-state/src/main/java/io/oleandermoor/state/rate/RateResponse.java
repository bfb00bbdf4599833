package io.oleandermoor.state.rate;

import java.util.List;

/**
 * Response of a rate owner.
 *
 * @param sequence sequence of the request
 * @param owner whether the responding process holds the lease; if not, the other values are empty
 * @param term fencing number of the owner
 * @param validMillis validity of all tokens that the entry holds, counted by the entry from when it sent the request
 * @param grants one element for each demand that needed or wanted tokens
 */
public record RateResponse(long sequence, boolean owner, long term, long validMillis, List<TeamGrant> grants) {

    /** Copies the list. */
    public RateResponse {
        grants = List.copyOf(grants);
    }

    static RateResponse notOwner(long sequence) {
        return new RateResponse(sequence, false, 0, 0, List.of());
    }
}
