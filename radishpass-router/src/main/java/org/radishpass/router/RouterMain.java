package org.radishpass.router;

import java.time.Clock;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;
import org.radishpass.runtime.settings.StopSignal;

/**
 * The router's program.
 *
 * @since 0.1.0
 */
public final class RouterMain {
    private RouterMain() {
        // main only
    }

    /**
     * Runs a router until it is told to stop.
     *
     * @param arguments the command line
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
