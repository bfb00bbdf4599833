package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.TeamName;
import java.io.IOException;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/** Commands for teams. */
final class TeamCommands {

    private TeamCommands() {}

    /** Creates a team or replaces its limits. */
    @Command(name = "put", description = "Creates a team or replaces its limits")
    public static final class Put extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the team")
        private @Nullable String name;

        @Required
        @Option(name = "--rate", title = "tokens/s", description = "Sustained rate in tokens per second")
        private long rate;

        @Required
        @Option(name = "--burst", title = "tokens", description = "Largest number of tokens used at once")
        private long burst;

        @Option(name = "--weight", title = "number", description = "Share relative to other teams; default 1")
        private int weight = 1;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            Team team = new Team(identifier(TeamName::new, name), rate, burst, weight);
            return submit(context, client, new Change.PutTeam(team));
        }
    }

    /** Removes a team and revokes its keys. */
    @Command(name = "remove", description = "Removes a team and revokes its keys")
    public static final class Remove extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the team")
        private @Nullable String name;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            return submit(context, client, new Change.RemoveTeam(identifier(TeamName::new, name)));
        }
    }

    /** Lists the teams. */
    @Command(name = "list", description = "Lists the teams")
    public static final class Show extends RemoteCommand {

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            Table table = new Table("TEAM", "RATE", "BURST", "WEIGHT");
            client.configuration().document().teams().stream()
                    .sorted(Comparator.comparing(Team::name))
                    .forEach(team -> table.add(team.name(), team.rate(), team.burst(), team.weight()));
            table.print(context.output());
            return ExitCode.OK;
        }
    }
}
