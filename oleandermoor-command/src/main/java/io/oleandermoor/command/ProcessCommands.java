package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.transport.settings.RoleSchemas;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsReader;
import io.oleandermoor.transport.settings.SettingsSchema;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Commands that start a process or check its settings. */
final class ProcessCommands {

    private static final int FIXED_ARGUMENTS = 2;

    private ProcessCommands() {}

    private static Settings read(SettingsSchema schema, List<String> arguments)
            throws IOException, InvalidInputException {
        return new SettingsReader(schema)
                .read(Path.of(arguments.get(1)), arguments.subList(FIXED_ARGUMENTS, arguments.size()));
    }

    private static void requireRoleAndFile(List<String> arguments) throws CommandFailedException {
        if (arguments.size() < FIXED_ARGUMENTS) {
            throw CommandFailedException.usage("give a role and a settings file");
        }
    }

    /** Checks the settings of a process. */
    @Command(
            name = "check-settings",
            description = "Reports everything that is wrong with settings, or prints those in force and their origin")
    public static final class CheckSettings implements CommandAction {

        @Arguments(
                title = {"role", "file", "section.key=value"},
                description = "The role, the settings file, and values that replace those of the file")
        private List<String> arguments = new ArrayList<>();

        @Override
        public ExitCode run(CommandContext context) throws CommandFailedException, InvalidInputException, IOException {
            requireRoleAndFile(arguments);
            SettingsSchema schema = RoleSchemas.of(arguments.get(0))
                    .or(() -> context.daemons().launcher(arguments.get(0)).map(DaemonLauncher::schema))
                    .orElseThrow(() -> CommandFailedException.usage("there is no role '" + arguments.get(0)
                            + "'; the roles are "
                            + RoleSchemas.all().stream()
                                    .map(SettingsSchema::role)
                                    .toList()));
            context.output().print(read(schema, arguments).print());
            return ExitCode.OK;
        }
    }

    /** Starts a process. */
    @Command(name = "run", description = "Runs a daemon or a stand-in until it is stopped")
    public static final class Run implements CommandAction {

        @Arguments(
                title = {"role", "file", "section.key=value"},
                description = "The role, the settings file, and values that replace those of the file")
        private List<String> arguments = new ArrayList<>();

        @Override
        public ExitCode run(CommandContext context) throws CommandFailedException, InvalidInputException, IOException {
            requireRoleAndFile(arguments);
            DaemonLauncher launcher = context.daemons()
                    .launcher(arguments.get(0))
                    .orElseThrow(() -> CommandFailedException.usage(
                            "role '" + arguments.get(0) + "' cannot be started; the roles are "
                                    + context.daemons().roles()));
            return launcher.launch(read(launcher.schema(), arguments));
        }
    }
}
