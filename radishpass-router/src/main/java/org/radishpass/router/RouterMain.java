package org.radishpass.router;

import java.time.Clock;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;
import org.radishpass.runtime.settings.StopSignal;

/**
 * Entry point of the {@code radishpass-router} program.
 *
 * @since 0.1.0
 */
public final class RouterMain {
    private RouterMain() {
        // not instantiable
    }

    /**
     * Runs a router until the process receives a stop signal.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String... arguments) {
        new Program<>(
                        "radishpass-router",
                        "routes callers' requests to engines and services",
                        new RouterSettings(),
                        RouterMain::run)
                .runAndExit(arguments);
    }

    private static ExitCode run(RouterSettings settings) throws Exception {
        try (StopSignal signal = new StopSignal()) {
            Router router = new Router(settings, Clock.systemUTC());
            signal.await();
            router.stop();
        }
        return ExitCode.OK;
    }
}
