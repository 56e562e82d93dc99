package org.radishpass.runtime.settings;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The main entry of a program: parses the settings, prints help or the version, runs the program and returns its exit
 * code.
 *
 * @param <S> the type of the program's settings
 * @since 0.1.0
 */
public final class Program<S extends CommonSettings> {
    private static final Logger LOG = LoggerFactory.getLogger(Program.class);

    private final String name;
    private final String summary;
    private final S settings;
    private final Body<S> body;

    /**
     * Creates a program.
     *
     * @param name the name of the program
     * @param summary one sentence that describes the program, for the help text
     * @param settings the settings, which are filled from flags and environment variables
     * @param body runs the program
     */
    public Program(String name, String summary, S settings, Body<S> body) {
        this.name = name;
        this.summary = summary;
        this.settings = settings;
        this.body = body;
    }

    /**
     * Runs the program and returns its exit code.
     *
     * @param arguments the command line
     * @param environment the environment variables
     * @param out the stream for the help text and the version
     * @param err the stream for error messages
     */
    public ExitCode run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        SettingsParser parser = new SettingsParser(settings);
        List<String> faults = parser.parse(List.of(arguments), environment);
        if (settings.help()) {
            out.println(name + ": " + summary);
            out.println();
            out.println("Each flag --some-flag has an environment twin RADISHPASS_SOME_FLAG; the flag wins.");
            out.println();
            out.print(parser.usage());
            return ExitCode.OK;
        }
        if (settings.version()) {
            out.println(name + " " + version());
            return ExitCode.OK;
        }
        if (!faults.isEmpty()) {
            faults.forEach(fault -> err.println(name + ": " + fault));
            return ExitCode.USAGE;
        }
        return runBody(err);
    }

    /**
     * Runs the program and exits the process with the exit code.
     *
     * @param arguments the command line
     */
    @SuppressWarnings({"PMD.SystemPrintln", "PMD.DoNotTerminateVM"})
    public void runAndExit(String... arguments) {
        System.exit(run(arguments, System.getenv(), System.out, System.err).number());
    }

    private ExitCode runBody(PrintStream err) {
        try {
            return body.run(settings);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (Exception e) {
            LOG.debug("the program failed and exits", e);
            err.println(name + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static String version() {
        String version = Program.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    /**
     * The body of a program.
     *
     * @param <S> the type of the program's settings
     * @since 0.1.0
     */
    @FunctionalInterface
    public interface Body<S> {
        /**
         * Runs the program and returns its exit code.
         *
         * @param settings the settings, which have been checked
         * @throws Exception if the program fails; the message is printed and must be readable for users
         */
        ExitCode run(S settings) throws Exception;
    }
}
