package io.oleandermoor.gateway.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.fleet.CallerLimits;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.TeamLimits;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeploymentViewTest {

    private static final TeamLimits TEAM =
            new TeamLimits("team-1", List.of("key-1"), OptionalInt.empty(), 200, 1_000, 100);

    private final DeploymentView view = new DeploymentView("entry-1", new InstanceTable("a", 1));

    @BeforeEach
    void start() {
        view.applyDocument(new FleetDocument(1, List.of(), List.of(), List.of(TEAM), new CallerLimits(1, 1, 1, 1)));
        view.setRegistered(true);
    }

    @Nested
    class TokensKeptForRejoining {

        /** Guards against new streams that use up the rate before it is known whether all entries have restarted. */
        @Test
        void areKeptBeforeTheStartIsSettled() {
            view.setPeers(Set.of("entry-2"));
            view.settleStartupBalances(false);
            view.recordRejoiningRefused(TEAM, 100);
            assertThat(view.tokensKeptForRejoining(TEAM, 1)).isPositive();
        }

        /** Guards against new streams that use up the rate of an entry to which the streams of others come. */
        @Test
        void areKeptAtAnEntryThatOutlivesOthers() {
            view.setPeers(Set.of("entry-2"));
            view.settleStartupBalances(true);
            view.recordRejoiningRefused(TEAM, 100);
            assertThat(view.tokensKeptForRejoining(TEAM, 1)).isPositive();
        }

        @Test
        void areKeptAfterACommonStart() {
            view.setPeers(Set.of());
            view.settleStartupBalances(false);
            view.recordRejoiningRefused(TEAM, 100);
            assertThat(view.tokensKeptForRejoining(TEAM, 1)).isPositive();
        }

        /** Guards against new streams that are refused after a common start although no stream comes back. */
        @Test
        void areNoneWhileNoStreamIsTakenUp() {
            view.setPeers(Set.of());
            view.settleStartupBalances(false);
            assertThat(view.tokensKeptForRejoining(TEAM, 1)).isZero();
        }
    }
}
