package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Option;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A command that talks to the admin API of an entry. */
public abstract class RemoteCommand implements CommandAction {

    static final String ADDRESS_VARIABLE = "OLEANDERMOOR_ADMIN_ADDRESS";
    static final String CREDENTIAL_VARIABLE = "OLEANDERMOOR_ADMIN_CREDENTIAL";
    static final String CREDENTIAL_FILE_VARIABLE = "OLEANDERMOOR_ADMIN_CREDENTIAL_FILE";

    @Option(
            name = "--address",
            title = "ip:port",
            description = "Administration address of an entry; default is the variable " + ADDRESS_VARIABLE)
    private @Nullable String address;

    @Option(
            name = "--credential-file",
            title = "file",
            description = "File with the administration credential; default is the variable " + CREDENTIAL_FILE_VARIABLE
                    + ", else the credential itself in " + CREDENTIAL_VARIABLE)
    private @Nullable String credentialFile;

    RemoteCommand() {}

    /** Does the work of the command with a client that is closed afterwards. */
    abstract ExitCode run(CommandContext context, AdministrationClient client)
            throws CommandFailedException, IOException;

    @Override
    public final ExitCode run(CommandContext context) throws CommandFailedException, IOException {
        try (AdministrationClient client =
                new AdministrationClient(address(context), credential(context), context.retryWait())) {
            return run(context, client);
        }
    }

    private Address address(CommandContext context) throws CommandFailedException {
        String text = Optional.ofNullable(address)
                .or(() -> Optional.ofNullable(context.environment().get(ADDRESS_VARIABLE)))
                .orElseThrow(
                        () -> CommandFailedException.usage("no address; give --address or set " + ADDRESS_VARIABLE));
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException exception) {
            throw CommandFailedException.usage(String.valueOf(exception.getMessage()));
        }
    }

    /** Returns the credential. It is never an argument, because arguments are visible to other users of the machine. */
    private String credential(CommandContext context) throws CommandFailedException, IOException {
        Optional<String> file = Optional.ofNullable(credentialFile)
                .or(() -> Optional.ofNullable(context.environment().get(CREDENTIAL_FILE_VARIABLE)));
        String credential = file.isPresent()
                ? Files.readString(Path.of(file.get())).strip()
                : Optional.ofNullable(context.environment().get(CREDENTIAL_VARIABLE))
                        .orElse("");
        if (credential.isEmpty()) {
            throw CommandFailedException.usage("no credential; give --credential-file or set " + CREDENTIAL_VARIABLE);
        }
        if (credential.chars().anyMatch(character -> character < '!' || character > '~')) {
            throw new CommandFailedException("the credential has characters that cannot be sent");
        }
        return credential;
    }
}
