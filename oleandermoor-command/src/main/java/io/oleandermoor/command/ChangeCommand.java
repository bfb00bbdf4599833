package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Option;
import io.oleandermoor.daemon.administration.SubmitResult;
import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** A command that changes the configuration of a running deployment. */
public abstract class ChangeCommand extends RemoteCommand {

    private static final int CHANGE_ID_BYTES = 16;

    @Option(name = "--author", title = "name", description = "Who makes the change; default is the variable USER")
    private @Nullable String author;

    @Option(
            name = "--change-id",
            title = "id",
            description = "Identifier of the change; give the one of an earlier attempt to repeat it safely")
    private @Nullable String changeId;

    @Option(
            name = "--expected-version",
            title = "version",
            description = "Refuses the change if another version is in force")
    private @Nullable Long expectedVersion;

    ChangeCommand() {}

    final ExitCode submit(CommandContext context, AdministrationClient client, Change change)
            throws CommandFailedException {
        return submit(context, client, List.of(change), OptionalLong.empty());
    }

    /** Submits changes and says what became of them. */
    final ExitCode submit(
            CommandContext context, AdministrationClient client, List<Change> changes, OptionalLong seenVersion)
            throws CommandFailedException {
        String id = Optional.ofNullable(changeId).orElseGet(() -> newChangeId(context));
        String who = Optional.ofNullable(author)
                .orElseGet(() -> context.environment().getOrDefault("USER", "unknown"));
        OptionalLong expected = expectedVersion == null ? seenVersion : OptionalLong.of(expectedVersion);
        SubmitResult result = client.submit(new ChangeRequest(new ChangeSet(id, who, changes), expected));
        if (result instanceof SubmitResult.Accepted accepted) {
            context.errors().println("accepted as version " + accepted.version() + " (change " + id + ")");
            return ExitCode.OK;
        }
        if (result instanceof SubmitResult.Conflict conflict) {
            throw new CommandFailedException("version " + conflict.currentVersion()
                    + " is in force, another than expected; nothing was changed");
        }
        if (result instanceof SubmitResult.Rejected rejected) {
            rejected.findings().forEach(context.errors()::println);
            throw new CommandFailedException("the change is refused; nothing was changed");
        }
        if (result instanceof SubmitResult.Unavailable unavailable) {
            throw new CommandFailedException(unavailable.reason() + " (nothing was changed)");
        }
        if (result instanceof SubmitResult.RevokedForNow revoked) {
            throw new CommandFailedException(revoked.message() + " (change " + id + ")");
        }
        return ask(context, client, id, ((SubmitResult.Unknown) result).reason());
    }

    private ExitCode ask(CommandContext context, AdministrationClient client, String id, String reason)
            throws CommandFailedException {
        context.errors().println(reason + "; asking about change " + id);
        OptionalLong version;
        try {
            version = client.find(id);
        } catch (IOException exception) {
            throw new CommandFailedException("whether change " + id + " is accepted is not known: "
                    + exception.getMessage() + "; " + adviceWhenUnknown(id));
        }
        if (version.isEmpty()) {
            throw new CommandFailedException(
                    "change " + id + " is not accepted so far and may still be; " + adviceWhenUnknown(id));
        }
        context.errors().println("accepted as version " + version.getAsLong() + " (change " + id + ")");
        return ExitCode.OK;
    }

    /** Returns what an operator can do when it is not known whether a change is accepted. */
    String adviceWhenUnknown(String id) {
        return "repeat the command with --change-id " + id;
    }

    /** Returns whether the operator repeats an earlier attempt. */
    final boolean isRepeat() {
        return changeId != null;
    }

    private static String newChangeId(CommandContext context) {
        byte[] bytes = new byte[CHANGE_ID_BYTES];
        context.random().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns an identifier from the command line. */
    static <T> T identifier(Function<String, T> type, @Nullable String text) throws CommandFailedException {
        try {
            return type.apply(text == null ? "" : text);
        } catch (IllegalArgumentException exception) {
            throw CommandFailedException.usage(String.valueOf(exception.getMessage()));
        }
    }
}
