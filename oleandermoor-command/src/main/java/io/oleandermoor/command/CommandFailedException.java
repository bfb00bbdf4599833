package io.oleandermoor.command;

/** Thrown when a command cannot do what it was asked to do. The message is shown to the operator. */
public final class CommandFailedException extends Exception {

    private final ExitCode exitCode;

    private CommandFailedException(String message, ExitCode exitCode) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Creates the exception for a command that failed.
     *
     * @param message what failed and, where possible, what to do
     */
    public CommandFailedException(String message) {
        this(message, ExitCode.FAILED);
    }

    /**
     * Returns the exception for a wrong command line.
     *
     * @param message what is wrong
     * @return the exception
     */
    public static CommandFailedException usage(String message) {
        return new CommandFailedException(message, ExitCode.USAGE);
    }

    /**
     * Returns the exit status.
     *
     * @return the status, never {@link ExitCode#OK}
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
