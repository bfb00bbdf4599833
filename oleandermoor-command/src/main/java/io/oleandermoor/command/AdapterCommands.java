package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import java.io.IOException;
import java.util.Comparator;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Commands for adapters. */
final class AdapterCommands {

    private AdapterCommands() {}

    /** Adds an adapter or replaces its settings. */
    @Command(name = "put", description = "Adds an adapter or replaces its settings")
    public static final class Put extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the adapter")
        private @Nullable String name;

        @Required
        @Option(name = "--model", title = "name", description = "The base model")
        private @Nullable String model;

        @Required
        @Option(name = "--adapter-version", title = "version", description = "Version of the weights to serve")
        private @Nullable String version;

        @Required
        @Option(name = "--memory-megabytes", title = "MB", description = "Accelerator memory of one copy")
        private long memoryMegabytes;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            Adapter adapter = new Adapter(
                    identifier(AdapterName::new, name),
                    identifier(ModelName::new, model),
                    Objects.requireNonNull(version, "version"),
                    memoryMegabytes);
            return submit(context, client, new Change.PutAdapter(adapter));
        }
    }

    /** Removes an adapter. */
    @Command(name = "remove", description = "Removes an adapter")
    public static final class Remove extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the adapter")
        private @Nullable String name;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            return submit(context, client, new Change.RemoveAdapter(identifier(AdapterName::new, name)));
        }
    }

    /** Lists the adapters. */
    @Command(name = "list", description = "Lists the adapters")
    public static final class Show extends RemoteCommand {

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            Table table = new Table("ADAPTER", "MODEL", "VERSION", "MEMORY MB");
            client.configuration().document().adapters().stream()
                    .sorted(Comparator.comparing(Adapter::name))
                    .forEach(adapter ->
                            table.add(adapter.name(), adapter.model(), adapter.version(), adapter.memoryMegabytes()));
            table.print(context.output());
            return ExitCode.OK;
        }
    }
}
