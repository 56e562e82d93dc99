package org.radishpass.cli;

import java.io.IOException;
import org.radishpass.cli.internal.Commands;
import org.radishpass.cli.internal.Reporter;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;

/**
 * The operator's program.
 *
 * @since 0.1.0
 */
public final class CliMain {
    private CliMain() {
        // main only
    }

    /**
     * Runs one command.
     *
     * @param arguments the command line
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
