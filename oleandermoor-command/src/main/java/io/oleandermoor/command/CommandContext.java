package io.oleandermoor.command;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;

/**
 * What commands use of their surroundings.
 *
 * @param output receives results
 * @param errors receives messages and findings
 * @param environment the environment variables
 * @param random the source of keys and change ids
 * @param daemons the roles that can be started
 * @param retryWait time between two questions about a change whose answer was lost
 */
public record CommandContext(
        PrintStream output,
        PrintStream errors,
        Map<String, String> environment,
        SecureRandom random,
        DaemonRegistry daemons,
        Duration retryWait) {

    private static final Duration DEFAULT_RETRY_WAIT = Duration.ofSeconds(1);

    /** Copies the environment. */
    public CommandContext {
        environment = Map.copyOf(environment);
    }

    /**
     * Returns the context of this process.
     *
     * @return standard output, standard error and the environment
     */
    public static CommandContext system() {
        return new CommandContext(
                System.out,
                System.err,
                System.getenv(),
                new SecureRandom(),
                DaemonRegistry.standard(),
                DEFAULT_RETRY_WAIT);
    }
}
