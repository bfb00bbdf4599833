package io.oleandermoor.command;

/** Exit status of a command. */
public enum ExitCode {
    /** The command did what it was asked to do. */
    OK(0),
    /** The input has errors, or the command failed. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /**
     * Returns the status of the operating system.
     *
     * @return 0, 1 or 2
     */
    public int status() {
        return status;
    }
}
