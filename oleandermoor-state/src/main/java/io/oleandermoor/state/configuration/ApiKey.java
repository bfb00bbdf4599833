package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;

/**
 * An API key issued to a team.
 *
 * @param id public identifier of the key, safe to log and to display
 * @param team the team to which requests with this key are attributed
 * @param hash hash of the key, used to look up a key that a caller presents
 */
public record ApiKey(String id, TeamName team, KeyHash hash) {}
