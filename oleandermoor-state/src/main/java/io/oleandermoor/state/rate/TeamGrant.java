package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/**
 * Answer to the demand for one team.
 *
 * @param team the team
 * @param tokens tokens granted in addition to those held
 * @param retryAfterMillis time until the largest waiting request can be granted if no other request of the team uses
 *     the tokens first; 0 if it was granted
 */
public record TeamGrant(TeamName team, long tokens, long retryAfterMillis) {}
