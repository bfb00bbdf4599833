package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/**
 * Report and demand of an entry for one team. All amounts are in tokens.
 *
 * @param team the team
 * @param held granted tokens that the entry keeps; all other previously granted tokens are spent or in {@code returned}
 * @param returned granted tokens that the entry gives up unspent
 * @param credited tokens that were reserved and reported as spent earlier, but not used by the settled requests
 * @param creditAgeMillis age of the oldest reservation in {@code credited}
 * @param needed tokens that waiting requests lack
 * @param largest tokens that the largest waiting request lacks
 * @param wanted total number of tokens wanted, at least {@code needed}
 */
public record TeamDemand(
        TeamName team,
        long held,
        long returned,
        long credited,
        long creditAgeMillis,
        long needed,
        long largest,
        long wanted) {}
