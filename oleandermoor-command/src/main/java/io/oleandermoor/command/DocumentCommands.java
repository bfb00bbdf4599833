package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.operator.ConfigurationListing;
import io.oleandermoor.operator.DocumentDiff;
import io.oleandermoor.operator.DocumentReader;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** Commands that work on a whole configuration document. */
final class DocumentCommands {

    private DocumentCommands() {}

    private static ConfigurationDocument read(@Nullable String file, CommandContext context)
            throws CommandFailedException, IOException {
        byte[] json;
        try (InputStream stream = Files.newInputStream(Path.of(Objects.requireNonNull(file, "file")))) {
            json = stream.readNBytes(DocumentReader.DEFAULT_MAXIMUM_BYTES + 1);
        }
        Findings findings = new Findings();
        try {
            return new DocumentReader()
                    .read(json, findings)
                    .orElseThrow(() -> new InvalidInputException(findings.list()));
        } catch (InvalidInputException exception) {
            throw new CommandFailedException(file + " cannot be used");
        } finally {
            findings.list().forEach(finding -> context.errors().println(file + ": " + finding));
        }
    }

    /** Checks a document without a running deployment. */
    @Command(name = "validate", description = "Checks a configuration document and reports everything that is wrong")
    public static final class Validate implements CommandAction {

        @Required
        @Arguments(title = "file", description = "The document")
        private @Nullable String file;

        @Override
        public ExitCode run(CommandContext context) throws CommandFailedException, IOException {
            ConfigurationDocument document = read(file, context);
            context.output()
                    .println(file + " is valid: " + document.teams().size() + " teams, "
                            + document.keys().size() + " keys, "
                            + document.models().size() + " models, "
                            + document.adapters().size() + " adapters, "
                            + document.routes().size() + " routes");
            return ExitCode.OK;
        }
    }

    /** Shows what a document would change. */
    @Command(name = "diff", description = "Shows what a configuration document would change")
    public static final class Diff extends RemoteCommand {

        @Required
        @Arguments(title = "file", description = "The document")
        private @Nullable String file;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            ConfigurationDocument document = read(file, context);
            ConfigurationListing inForce = client.configuration();
            context.output().println("against version " + inForce.version() + ":");
            context.output().println(DocumentDiff.between(document, inForce));
            return ExitCode.OK;
        }
    }

    /** Brings a document into force. */
    @Command(
            name = "apply",
            description = "Brings a configuration document into force, unless another change is accepted meanwhile")
    public static final class Apply extends ChangeCommand {

        @Required
        @Arguments(title = "file", description = "The document")
        private @Nullable String file;

        @Override
        ExitCode run(CommandContext context, AdministrationClient client) throws CommandFailedException, IOException {
            ConfigurationDocument document = read(file, context);
            ConfigurationListing inForce = client.configuration();
            DocumentDiff diff = DocumentDiff.between(document, inForce);
            context.output().println(diff);
            if (diff.isEmpty()) {
                return ExitCode.OK;
            }
            return submit(context, client, diff.changes(), OptionalLong.of(inForce.version()));
        }
    }
}
