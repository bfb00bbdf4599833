package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Command;
import io.oleandermoor.daemon.administration.ProcessStatus;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;

/** Shows which version of the configuration is in force in which process. */
@Command(name = "status", description = "Shows which version of the configuration is in force in which process")
public final class StatusCommand extends RemoteCommand {

    /** Creates the command. */
    public StatusCommand() {}

    @Override
    ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
        List<ProcessStatus> processes = client.status();
        long newest = processes.stream().mapToLong(ProcessStatus::version).max().orElse(0);
        long behind =
                processes.stream().filter(process -> process.version() < newest).count();
        Table table = new Table("PROCESS", "ROLE", "FAILURE DOMAIN", "STATUS", "VERSION");
        processes.stream()
                .sorted(Comparator.comparing(ProcessStatus::role).thenComparing(ProcessStatus::process))
                .forEach(process -> table.add(
                        process.process(),
                        process.role(),
                        process.failureDomain(),
                        process.status(),
                        process.version()));
        table.print(context.output());
        context.output()
                .println("version " + newest + " is in force in " + (processes.size() - behind) + " of "
                        + processes.size() + " processes");
        return ExitCode.OK;
    }
}
