package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.state.configuration.Access;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.Repeatability;
import io.oleandermoor.state.configuration.Route;
import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.ServiceName;
import java.io.IOException;
import java.util.Comparator;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Commands for routes. */
final class RouteCommands {

    private RouteCommands() {}

    /** Adds a route or replaces it. */
    @Command(name = "put", description = "Adds a route or replaces it")
    public static final class Put extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the route")
        private @Nullable String name;

        @Required
        @Option(name = "--method", title = "method", description = "HTTP method in capitals")
        private @Nullable String method;

        @Required
        @Option(name = "--path", title = "path", description = "Path prefix")
        private @Nullable String path;

        @Required
        @Option(name = "--service", title = "name", description = "The plain service that answers")
        private @Nullable String service;

        @Option(name = "--open", description = "Lets callers use the route without a key")
        private boolean open;

        @Option(
                name = "--repeatable",
                description = "Calls may be sent more than once; without it they run at most once")
        private boolean repeatable;

        @Option(name = "--require-idempotency-key", description = "Refuses calls without an idempotency key")
        private boolean idempotencyKeyRequired;

        @Option(
                name = "--maximum-body-bytes",
                title = "bytes",
                description = "Size of the largest request body; default 1 MiB")
        private long maximumBodyBytes = Route.DEFAULT_MAXIMUM_BODY_BYTES;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            Route route = new Route(
                    identifier(RouteName::new, name),
                    Objects.requireNonNull(method, "method"),
                    Objects.requireNonNull(path, "path"),
                    identifier(ServiceName::new, service),
                    open ? Access.OPEN : Access.TEAM,
                    repeatable ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE,
                    idempotencyKeyRequired,
                    maximumBodyBytes);
            return submit(context, client, new Change.PutRoute(route));
        }
    }

    /** Removes a route. */
    @Command(name = "remove", description = "Removes a route")
    public static final class Remove extends ChangeCommand {

        @Required
        @Arguments(title = "name", description = "The name of the route")
        private @Nullable String name;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException {
            return submit(context, client, new Change.RemoveRoute(identifier(RouteName::new, name)));
        }
    }

    /** Lists the routes. */
    @Command(name = "list", description = "Lists the routes")
    public static final class Show extends RemoteCommand {

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            Table table = new Table(
                    "ROUTE", "METHOD", "PATH", "SERVICE", "ACCESS", "REPEATABILITY", "KEY REQUIRED", "MAXIMUM BODY");
            client.configuration().document().routes().stream()
                    .sorted(Comparator.comparing(Route::name))
                    .forEach(route -> table.add(
                            route.name(),
                            route.method(),
                            route.path(),
                            route.service(),
                            route.access(),
                            route.repeatability(),
                            route.idempotencyKeyRequired(),
                            route.maximumBodyBytes()));
            table.print(context.output());
            return ExitCode.OK;
        }
    }
}
