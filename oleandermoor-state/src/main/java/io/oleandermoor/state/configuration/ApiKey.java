package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;

/**
 * An issued key of a team.
 *
 * @param id public identifier of the key, safe to log and to list
 * @param team the team for which requests with this key run
 * @param hash hash of the key
 */
public record ApiKey(String id, TeamName team, KeyHash hash) {}
