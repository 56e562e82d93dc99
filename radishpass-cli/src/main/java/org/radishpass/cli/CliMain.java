package org.radishpass.cli;

import java.io.IOException;
import org.radishpass.cli.internal.Commands;
import org.radishpass.cli.internal.Reporter;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;

/**
 * The main class of the operator's command-line tool.
 *
 * @since 0.1.0
 */
public final class CliMain {
    private CliMain() {
        // not instantiated
    }

    /**
     * Runs the command that the arguments name and exits with its exit code.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String... arguments) {
        new Program<>(
                        "radishpass",
                        "writes and shows the records of a fleet, and explains what it did",
                        new CliSettings(),
                        CliMain::run)
                .runAndExit(arguments);
    }

    @SuppressWarnings("PMD.SystemPrintln")
    private static ExitCode run(CliSettings settings) throws IOException {
        try (HttpRuntime runtime = new HttpRuntime("cli", 1)) {
            return new Commands(settings, runtime, new Reporter(System.out, System.err)).run();
        }
    }
}
