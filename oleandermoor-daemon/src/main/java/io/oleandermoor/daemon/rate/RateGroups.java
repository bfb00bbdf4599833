package io.oleandermoor.daemon.rate;

import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateLimit;
import java.util.HashMap;
import java.util.Map;

/** Assigns teams to groups; each group has one rate owner. */
public final class RateGroups {

    /** Number of groups. Each has an owner of its own, so that no process serves all teams. */
    public static final int COUNT = 4;

    private RateGroups() {}

    /**
     * Returns the group of a team.
     *
     * @param team the team
     * @return a number from 0, the same in all processes
     */
    public static int of(TeamName team) {
        return Math.floorMod(team.value().hashCode(), COUNT);
    }

    /**
     * Returns the name that the owner of a group owns.
     *
     * @param group the group
     * @return the key at the key-value service
     */
    public static String ownerName(int group) {
        return "owner/rate/" + group;
    }

    /**
     * Returns the limits of the teams of a group.
     *
     * @param configuration the configuration
     * @param group the group
     * @return the limit of each team
     */
    public static Map<TeamName, RateLimit> limits(Configuration configuration, int group) {
        Map<TeamName, RateLimit> limits = new HashMap<>();
        for (Team team : configuration.teams()) {
            if (of(team.name()) == group) {
                limits.put(
                        team.name(),
                        new RateLimit(
                                Math.min(team.rate(), RateLimit.MAXIMUM_TOKENS),
                                Math.min(team.burst(), RateLimit.MAXIMUM_TOKENS)));
            }
        }
        return limits;
    }
}
