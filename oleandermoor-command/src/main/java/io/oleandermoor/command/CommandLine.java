package io.oleandermoor.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** Parses a command line and runs its command. */
public final class CommandLine {

    private static final String NAME = "oleandermoor";
    private static final Set<String> HELP = Set.of("help", "--help", "-h");

    private final Cli<CommandAction> cli;
    private final CommandContext context;

    /**
     * Creates the command line.
     *
     * @param context the surroundings of the commands
     */
    public CommandLine(CommandContext context) {
        this.context = Objects.requireNonNull(context, "context");
        CliBuilder<CommandAction> builder = new CliBuilder<>(NAME);
        builder.withDescription("Serves many models on fewer accelerators");
        builder.withCommands(List.<Class<? extends CommandAction>>of(
                DocumentCommands.Validate.class,
                DocumentCommands.Diff.class,
                DocumentCommands.Apply.class,
                StatusCommand.class,
                LoadCommand.class,
                ExplainCommand.class,
                ProcessCommands.CheckSettings.class,
                ProcessCommands.Run.class));
        addGroup(
                builder,
                "team",
                "Changes the teams of a running deployment",
                List.of(TeamCommands.Put.class, TeamCommands.Remove.class, TeamCommands.Show.class));
        addGroup(
                builder,
                "key",
                "Issues and revokes the keys of teams",
                List.of(KeyCommands.Issue.class, KeyCommands.Revoke.class, KeyCommands.Show.class));
        addGroup(
                builder,
                "model",
                "Changes the models of a running deployment",
                List.of(ModelCommands.Put.class, ModelCommands.Remove.class, ModelCommands.Show.class));
        addGroup(
                builder,
                "adapter",
                "Changes the adapters of a running deployment",
                List.of(AdapterCommands.Put.class, AdapterCommands.Remove.class, AdapterCommands.Show.class));
        addGroup(
                builder,
                "route",
                "Changes the routes of a running deployment",
                List.of(RouteCommands.Put.class, RouteCommands.Remove.class, RouteCommands.Show.class));
        addGroup(
                builder,
                "replay",
                "Replays traces through the decisions of the system under virtual time",
                List.of(ReplayCommands.Run.class, ReplayCommands.Generate.class, ReplayCommands.Compare.class));
        // Without another word, the argument is a trace: replay TRACE.
        builder.getGroup("replay").withDefaultCommand(ReplayCommands.Run.class);
        this.cli = builder.build();
    }

    /**
     * Runs one command.
     *
     * @param arguments the command line without the name of the program
     * @return the exit status
     */
    public ExitCode run(String... arguments) {
        List<String> words = Arrays.asList(arguments);
        if (words.equals(List.of("--version"))) {
            context.output().println(NAME + " " + Version.text());
            return ExitCode.OK;
        }
        if (words.stream().anyMatch(HELP::contains)) {
            return help(words);
        }
        CommandAction action;
        try {
            action = cli.parse(arguments);
        } catch (ParseException exception) {
            context.errors().println(NAME + ": " + exception.getMessage());
            context.errors()
                    .println("'" + NAME + " help' lists the commands, '" + NAME + " COMMAND --help' explains one");
            return ExitCode.USAGE;
        }
        return run(action);
    }

    private static void addGroup(
            CliBuilder<CommandAction> builder,
            String name,
            String description,
            List<Class<? extends CommandAction>> commands) {
        builder.withGroup(name).withDescription(description).withCommands(commands);
    }

    private ExitCode run(CommandAction action) {
        try {
            return action.run(context);
        } catch (InvalidInputException exception) {
            exception.findings().forEach(context.errors()::println);
        } catch (CommandFailedException exception) {
            context.errors().println(NAME + ": " + exception.getMessage());
            return exception.exitCode();
        } catch (IOException exception) {
            context.errors().println(NAME + ": " + exception);
        }
        return ExitCode.FAILED;
    }

    private ExitCode help(List<String> words) {
        List<String> command = new ArrayList<>(words);
        command.removeIf(HELP::contains);
        // Words after the command, such as file names, are not part of its name.
        List<String> known = knownPrefix(command);
        if (known.isEmpty() && !command.isEmpty()) {
            context.errors().println(NAME + ": there is no command '" + command.get(0) + "'");
            return ExitCode.USAGE;
        }
        try {
            Help.help(cli.getMetadata(), known, context.output());
            context.output().flush();
            return ExitCode.OK;
        } catch (IOException exception) {
            context.errors().println(NAME + ": " + exception);
            return ExitCode.FAILED;
        }
    }

    private List<String> knownPrefix(List<String> words) {
        if (words.isEmpty()) {
            return List.of();
        }
        String first = words.get(0);
        boolean single = cli.getMetadata().getDefaultGroupCommands().stream()
                .anyMatch(command -> command.getName().equals(first));
        if (single) {
            return List.of(first);
        }
        return cli.getMetadata().getCommandGroups().stream()
                .filter(group -> group.getName().equals(first))
                .findFirst()
                .map(group -> words.size() > 1
                                && group.getCommands().stream()
                                        .anyMatch(command -> command.getName().equals(words.get(1)))
                        ? words.subList(0, 2)
                        : List.of(first))
                .orElse(List.of());
    }
}
