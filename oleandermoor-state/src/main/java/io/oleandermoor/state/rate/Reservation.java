package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/**
 * Tokens taken for one request.
 *
 * @param team the team
 * @param tokens reserved tokens
 * @param term fencing number of the owner that granted them, 0 if they come from the local floor or share
 * @param epoch number of reports that the entry had sent for the team
 * @param reservedMillis time of the reservation
 */
public record Reservation(TeamName team, long tokens, long term, long epoch, long reservedMillis) {}
