package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.operator.ConfigurationListing;
import io.oleandermoor.operator.IssuedKey;
import io.oleandermoor.operator.KeyIssuer;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.TeamName;
import java.io.IOException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Commands for keys. */
final class KeyCommands {

    private static final int ID_SUFFIX_BYTES = 4;

    private KeyCommands() {}

    /** Issues a key to a team and prints it once. */
    @Command(name = "issue", description = "Issues a key to a team and prints it once")
    public static final class Issue extends ChangeCommand {

        @Required
        @Arguments(title = "team", description = "The team of the key")
        private @Nullable String team;

        @Option(
                name = "--id",
                title = "id",
                description = "Public identifier of the key; default is the team and a random number")
        private @Nullable String keyId;

        private String issuedId = "";

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            if (isRepeat()) {
                throw CommandFailedException.usage(
                        "an attempt to issue a key cannot be repeated, because its key was not kept; issue another one");
            }
            TeamName name = identifier(TeamName::new, team);
            String id = Optional.ofNullable(keyId).orElseGet(() -> newId(context, name));
            if (!Identifiers.isValid(id)) {
                throw CommandFailedException.usage("'" + id + "' is not a valid identifier");
            }
            issuedId = id;
            IssuedKey key = new KeyIssuer(context.random()).issue(id, name);
            ExitCode result = submit(context, client, new Change.IssueKey(key.apiKey()));
            context.errors().println("key " + id + " of team " + name + "; it is shown only now:");
            key.printOnce(context.output());
            return result;
        }

        @Override
        String adviceWhenUnknown(String id) {
            return "the key is not shown; revoke key " + issuedId + " if it is listed later, and issue another one";
        }

        private static String newId(CommandContext context, TeamName team) {
            byte[] suffix = new byte[ID_SUFFIX_BYTES];
            context.random().nextBytes(suffix);
            return team + "-" + HexFormat.of().formatHex(suffix);
        }
    }

    /** Revokes a key. */
    @Command(name = "revoke", description = "Revokes a key")
    public static final class Revoke extends ChangeCommand {

        @Required
        @Arguments(title = "id", description = "The public identifier of the key")
        private @Nullable String keyId;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            return submit(context, client, new Change.RevokeKey(Objects.requireNonNull(keyId, "keyId")));
        }
    }

    /** Lists the keys with the first digits of their hashes. */
    @Command(name = "list", description = "Lists the keys with the first digits of their hashes")
    public static final class Show extends RemoteCommand {

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            Table table = new Table("KEY", "TEAM", "HASH");
            client.configuration().keys().stream()
                    .sorted(Comparator.comparing(ConfigurationListing.ListedKey::id))
                    .forEach(key -> table.add(key.id(), key.team(), key.hashPrefix()));
            table.print(context.output());
            return ExitCode.OK;
        }
    }
}
