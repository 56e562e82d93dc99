package org.radishpass.runtime.settings;

import org.kohsuke.args4j.Option;

/**
 * The flags that all programs have in common.
 *
 * @since 0.1.0
 */
public abstract class CommonSettings implements Settings {
    @Option(name = "--help", aliases = "-h", help = true, usage = "print this and end")
    private boolean help;

    @Option(name = "--version", help = true, usage = "print the version and end")
    private boolean version;

    /** Tells whether the flag for help was given. */
    public final boolean help() {
        return help;
    }

    /** Tells whether the flag for the version was given. */
    public final boolean version() {
        return version;
    }
}
