package org.radishpass.runtime.settings;

/**
 * The exit codes of every program.
 *
 * @since 0.1.0
 */
public enum ExitCode {
    /** It did what was asked. */
    OK(0),
    /** It failed. */
    FAILED(1),
    /** The flags, the environment or the input are wrong; nothing was done. */
    USAGE(2),
    /** Somebody else's write came first; nothing was done. */
    CONFLICT(3),
    /** The platform could not be reached. */
    UNAVAILABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the number that the shell sees. */
    public int number() {
        return number;
    }
}
