package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/**
 * Tokens reserved for one request.
 *
 * @param team the team
 * @param tokens number of reserved tokens
 * @param term fencing number of the owner that granted them, 0 if they come from the local floor or share
 * @param epoch sequence number at the entry of the last report of the team, or of the last discard of its held tokens,
 *     before the reservation
 * @param reservedMillis time of the reservation
 */
public record Reservation(TeamName team, long tokens, long term, long epoch, long reservedMillis) {}
