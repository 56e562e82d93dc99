package org.radishpass.standin;

import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;
import org.radishpass.runtime.settings.StopSignal;
import org.radishpass.standin.deployment.StandInDeployment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Command-line program that runs the stand-ins of one deployment.
 *
 * @since 0.1.0
 */
public final class StandInMain {
    private static final Logger LOG = LoggerFactory.getLogger(StandInMain.class);

    private StandInMain() {
        // holds only main
    }

    /**
     * Runs the stand-ins of a deployment until the process receives a stop signal.
     *
     * @param arguments the command line
     */
    public static void main(String... arguments) {
        new Program<>(
                        "radishpass-standin",
                        "stands in for the platform, the engines and the services of a deployment",
                        new StandInSettings(),
                        StandInMain::run)
                .runAndExit(arguments);
    }

    private static ExitCode run(StandInSettings settings) throws Exception {
        try (StopSignal signal = new StopSignal();
                StandInDeployment deployment = new StandInDeployment(
                        settings.deployment(), settings.runDirectory(), settings.engine(), settings.seed())) {
            LOG.info("stand-ins started; the platform stand-in listens on {}", deployment.platformAddress());
            signal.await();
        }
        return ExitCode.OK;
    }
}
