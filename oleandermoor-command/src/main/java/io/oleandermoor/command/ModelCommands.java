package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.ModelName;
import java.io.IOException;
import java.util.Comparator;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Commands for models. */
final class ModelCommands {

    private ModelCommands() {}

    /** Adds a model or replaces its settings. */
    @Command(name = "put", description = "Adds a model or replaces its settings")
    public static final class Put extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the model")
        private @Nullable String name;

        @Required
        @Option(name = "--model-version", title = "version", description = "Version of the weights to serve")
        private @Nullable String version;

        @Required
        @Option(name = "--memory-megabytes", title = "MB", description = "Accelerator memory of one copy")
        private long memoryMegabytes;

        @Option(name = "--minimum-copies", title = "number", description = "Least number of ready copies; default 1")
        private int minimumCopies = 1;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            Model model = new Model(
                    identifier(ModelName::new, name),
                    Objects.requireNonNull(version, "version"),
                    memoryMegabytes,
                    minimumCopies);
            return submit(context, client, new Change.PutModel(model));
        }
    }

    /** Removes a model. */
    @Command(name = "remove", description = "Removes a model")
    public static final class Remove extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the model")
        private @Nullable String name;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            return submit(context, client, new Change.RemoveModel(identifier(ModelName::new, name)));
        }
    }

    /** Lists the models. */
    @Command(name = "list", description = "Lists the models")
    public static final class Show extends RemoteCommand {

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            Table table = new Table("MODEL", "VERSION", "MEMORY MB", "MINIMUM COPIES");
            client.configuration().document().models().stream()
                    .sorted(Comparator.comparing(Model::name))
                    .forEach(model ->
                            table.add(model.name(), model.version(), model.memoryMegabytes(), model.minimumCopies()));
            table.print(context.output());
            return ExitCode.OK;
        }
    }
}
