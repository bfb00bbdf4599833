package io.oleandermoor.replay.report;

/**
 * Where the figures of a report come from, so that a reader can run the replay again. Immutable.
 *
 * @param trace the trace: its file and checksum, or how it is generated
 * @param seeds the seed, or the seeds
 * @param command the command line
 * @param version version of the program
 */
public record ReportOrigin(String trace, String seeds, String command, String version) {

    /** Checks the texts. */
    public ReportOrigin {
        require(trace, "trace");
        require(seeds, "seeds");
        require(command, "command");
        require(version, "version");
    }

    private static void require(String text, String name) {
        if (text.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
    }
}
