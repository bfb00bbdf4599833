package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;
import java.util.List;
import java.util.stream.IntStream;

/** Changes for tests. */
final class Changes {

    private Changes() {}

    static ChangeSet putTeam(String name) {
        return new ChangeSet("change-" + name, "operator", List.of(new Change.PutTeam(team(name))));
    }

    static ChangeSet issueKeys(String team, int count) {
        List<Change> keys = IntStream.range(0, count)
                .<Change>mapToObj(index ->
                        new Change.IssueKey(new ApiKey("key-" + index, new TeamName(team), KeyHash.of(team + index))))
                .toList();
        return new ChangeSet("keys-" + team, "operator", keys);
    }

    static VersionedChange versioned(long version) {
        return new VersionedChange(version, putTeam("team-" + version));
    }

    private static Team team(String name) {
        return new Team(new TeamName(name), 1000, 10_000, 1);
    }
}
