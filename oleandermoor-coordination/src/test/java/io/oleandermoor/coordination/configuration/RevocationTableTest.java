package io.oleandermoor.coordination.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RevocationTableTest {

    private static final TeamName TEAM = new TeamName("one");
    private static final KeyHash HASH = KeyHash.of("key");
    private static final ChangeSet REVOKE = change(new Change.RevokeKey("key-1"));

    private final RevocationTable table = new RevocationTable();
    private Configuration withoutKey;
    private Configuration withKey;
    private Revocation revocation;

    @BeforeEach
    void configure() throws InvalidInputException {
        withoutKey = Configuration.empty().apply(change(new Change.PutTeam(new Team(TEAM, 1, 1, 1))));
        withKey = withoutKey.apply(change(new Change.IssueKey(new ApiKey("key-1", TEAM, HASH))));
        revocation = Revocation.of(REVOKE, withKey).orElseThrow();
    }

    /** Guards against a key that works again at a process whose older configuration does not have the key yet. */
    @Test
    void outlastsConfigurationsFromBeforeTheKey() {
        assertThat(table.add(revocation, withoutKey)).isTrue();
        assertThat(table.removeWritten(withoutKey)).isEmpty();
        assertThat(table.removeWritten(withKey)).isEmpty();
        assertThat(table.isRevoked(HASH)).isTrue();
        assertThat(table.pending(withKey)).containsExactly(revocation);
    }

    /** Guards against revocations that stay, or come back, when the configuration has them. */
    @Test
    void endsWhenTheConfigurationHasIt() throws InvalidInputException {
        table.add(revocation, withKey);
        Configuration revoked = withKey.apply(revocation.toChangeSet());
        assertThat(table.pending(revoked)).isEmpty();
        assertThat(table.removeWritten(revoked)).containsExactly(revocation);
        assertThat(table.isEmpty()).isTrue();
        assertThat(table.add(revocation, revoked)).isFalse();
    }

    /** Guards against the revocation of another key that has the identifier of the revoked one. */
    @Test
    void writesNothingWhenTheIdentifierNamesAnotherKey() throws InvalidInputException {
        table.add(revocation, withKey);
        Configuration reissued = withKey.apply(REVOKE)
                .apply(change(new Change.IssueKey(new ApiKey("key-1", TEAM, KeyHash.of("other")))));
        assertThat(table.pending(reissued)).isEmpty();
        assertThat(table.isRevoked(KeyHash.of("other"))).isFalse();
    }

    /** Guards against other changes that take effect without the key-value service. */
    @Test
    void isMadeOnlyOfASingleRevocation() {
        assertThat(Revocation.of(change(new Change.RemoveTeam(TEAM)), withKey)).isEmpty();
        assertThat(Revocation.of(change(new Change.RevokeKey("key-2")), withKey))
                .isEmpty();
        assertThat(Revocation.of(
                        new ChangeSet("id", "me", List.of(new Change.RevokeKey("key-1"), new Change.RemoveTeam(TEAM))),
                        withKey))
                .isEmpty();
    }

    private static ChangeSet change(Change change) {
        return new ChangeSet("change-" + change.getClass().getSimpleName(), "me", List.of(change));
    }
}
