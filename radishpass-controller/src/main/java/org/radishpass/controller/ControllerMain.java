package org.radishpass.controller;

import java.time.Clock;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;
import org.radishpass.runtime.settings.StopSignal;

/**
 * The main class of the controller process.
 *
 * @since 0.1.0
 */
public final class ControllerMain {
    private ControllerMain() {
        // not instantiated
    }

    /**
     * Runs a controller until the process receives a stop signal.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String... arguments) {
        new Program<>(
                        "radishpass-controller",
                        "brings the endpoints of a data centre to what the records say",
                        new ControllerSettings(),
                        ControllerMain::run)
                .runAndExit(arguments);
    }

    private static ExitCode run(ControllerSettings settings) throws Exception {
        try (StopSignal signal = new StopSignal()) {
            Controller controller = new Controller(settings, Clock.systemUTC());
            signal.await();
            controller.stop();
        }
        return ExitCode.OK;
    }
}
