package io.oleandermoor.command;

import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;

/** One command of the command line, with its options and arguments as fields. */
@FunctionalInterface
public interface CommandAction {

    /**
     * Runs the command.
     *
     * @param context the environment of the command
     * @return the exit status
     * @throws CommandFailedException if the command failed
     * @throws InvalidInputException if the input has errors
     * @throws IOException if a file or a connection failed
     */
    ExitCode run(CommandContext context) throws CommandFailedException, InvalidInputException, IOException;
}
