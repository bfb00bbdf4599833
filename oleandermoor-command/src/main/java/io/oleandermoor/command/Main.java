package io.oleandermoor.command;

/** Entry point of the {@code oleandermoor} command line. */
public final class Main {

    private Main() {}

    /**
     * Runs one command and exits with its status.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(CommandContext.system()).run(arguments).status());
    }
}
