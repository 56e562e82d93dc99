package org.radishpass.runtime.settings;

/**
 * The exit codes of every program.
 *
 * @since 0.1.0
 */
public enum ExitCode {
    /** The program succeeded. */
    OK(0),
    /** The program failed. */
    FAILED(1),
    /** The flags, the environment variables or the input are invalid; nothing was done. */
    USAGE(2),
    /** The write conflicted with another one; nothing was done. */
    CONFLICT(3),
    /** The platform could not be reached. */
    UNAVAILABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }
}
