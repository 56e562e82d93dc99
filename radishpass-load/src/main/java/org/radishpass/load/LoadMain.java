package org.radishpass.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.radishpass.load.internal.drive.Driver;
import org.radishpass.load.internal.drive.FleetAddresses;
import org.radishpass.load.internal.drive.PropagationTimer;
import org.radishpass.load.internal.drive.RequestResult;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.load.internal.plan.ProcessPlan;
import org.radishpass.load.internal.report.Figures;
import org.radishpass.load.internal.report.Measurement;
import org.radishpass.load.internal.report.RunReport;
import org.radishpass.load.internal.slope.SlopeBench;
import org.radishpass.load.internal.slope.SlopeReport;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.runtime.settings.Program;

/**
 * Command-line program that runs experiments. Prints the command lines of an experiment's processes for the script that
 * starts them, sends load to these processes and reports the figures.
 *
 * @since 0.1.0
 */
public final class LoadMain {
    private static final double LOAD_BOUND = 1.25;

    private final LoadSettings settings;
    private final Experiment experiment;
    private final PrintStream out;
    private volatile Measurement measurementAfterWarmup = Measurement.EMPTY;
    private volatile Measurement measurementAtEnd = Measurement.EMPTY;

    private LoadMain(LoadSettings settings, Experiment experiment, PrintStream out) {
        this.settings = settings;
        this.experiment = experiment;
        this.out = out;
    }

    /**
     * Runs the command that the command line names.
     *
     * @param arguments the command line
     */
    public static void main(String... arguments) {
        new Program<>(
                        "radishpass-load",
                        "runs experiments: open-loop load, audit and figures",
                        new LoadSettings(),
                        LoadMain::run)
                .runAndExit(arguments);
    }

    @SuppressWarnings("PMD.SystemPrintln")
    private static ExitCode run(LoadSettings settings) throws Exception {
        return switch (settings.command()) {
            case "slopes" -> measureSlopes(settings, System.out);
            case "tables" -> printTables(settings, System.out);
            default -> new LoadMain(settings, settings.experiment(), System.out).run();
        };
    }

    private static ExitCode measureSlopes(LoadSettings settings, PrintStream out) throws IOException {
        SlopeReport report = new SlopeReport(SlopeBench.measureSeries(), SlopeBench.measureMessages());
        report.write(Objects.requireNonNull(settings.reportFile()));
        return printTables(settings, out);
    }

    private static ExitCode printTables(LoadSettings settings, PrintStream out) throws IOException {
        SlopeReport.read(Objects.requireNonNull(settings.reportFile())).tables().forEach(out::println);
        return ExitCode.OK;
    }

    private ExitCode run() throws IOException, InterruptedException {
        return switch (settings.command()) {
            case "policies" -> print(experiment.policies());
            case "records" -> print(List.of(experiment.records()));
            case "standin" -> print(List.of(ProcessPlan.standIn(experiment, settings.runDirectory())));
            case "plan" -> print(ProcessPlan.routersAndControllers(experiment, settings.runDirectory()));
            case "propagate" -> measurePropagation();
            default -> runLoad();
        };
    }

    private ExitCode print(List<String> lines) {
        lines.forEach(out::println);
        return ExitCode.OK;
    }

    private ExitCode measurePropagation() throws IOException, InterruptedException {
        try (HttpRuntime runtime = new HttpRuntime("load", 3)) {
            FleetAddresses fleet = FleetAddresses.read(settings.runDirectory());
            Driver driver = new Driver(experiment, fleet, runtime, out);
            driver.awaitReady();
            Map<String, Object> figures = new PropagationTimer(driver, fleet, runtime).run(settings.changes());
            RunReport.summaryLines(figures).forEach(line -> out.println("# " + line));
            if (settings.reportFile() != null) {
                RunReport.add(settings.reportFile(), settings.policy(), figures);
            }
            return ExitCode.OK;
        }
    }

    private ExitCode runLoad() throws IOException, InterruptedException {
        try (HttpRuntime runtime = new HttpRuntime("load", 3)) {
            FleetAddresses fleet = FleetAddresses.read(settings.runDirectory());
            Driver driver = new Driver(experiment, fleet, runtime, out);
            driver.awaitReady();
            Map<String, Object> figures = runAndCollectFigures(driver, fleet, runtime);
            RunReport.summaryLines(figures).forEach(line -> out.println("# " + line));
            if (settings.reportFile() != null) {
                RunReport.add(settings.reportFile(), settings.policy(), figures);
            }
            return RunReport.passes(figures, experiment.cutsAllowed()) ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private Map<String, Object> runAndCollectFigures(Driver driver, FleetAddresses fleet, HttpRuntime runtime)
            throws InterruptedException {
        List<RequestResult> results = driver.run(
                () -> {
                    driver.putJson("/load/reset", Map.of());
                    measurementAfterWarmup = Measurement.take(driver, fleet, runtime);
                },
                () -> measurementAtEnd = Measurement.take(driver, fleet, runtime));
        Measurement lastMeasurement = Measurement.take(driver, fleet, runtime);
        long warmupNanos = TimeUnit.SECONDS.toNanos(experiment.warmupSeconds());
        List<RequestResult> measured = results.stream()
                .filter(result -> result.arrival().atNanos() >= warmupNanos)
                .toList();
        Map<String, Double> controlBytesPerSecond = measurementAtEnd
                .metrics()
                .bytesPerSecond(
                        measurementAfterWarmup.metrics(),
                        experiment.seconds(),
                        fleet.routers().size());
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.putAll(Figures.counts(results, experiment.warmupSeconds() + (double) experiment.seconds()));
        figures.putAll(Figures.reuse(measurementAfterWarmup.audit(), lastMeasurement.audit(), measured));
        figures.putAll(Figures.skew(measurementAtEnd.samples(), LOAD_BOUND));
        figures.put("skew", figures.get("skewPeakToMean"));
        figures.put(
                "controlBytesPerSecondPerRouter",
                controlBytesPerSecond.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum());
        figures.put("controlBytesByKind", controlBytesPerSecond);
        double routerSeconds = (double) experiment.seconds() * fleet.routers().size();
        double controlCpuSeconds = measurementAtEnd.metrics().controlCpuSeconds()
                - measurementAfterWarmup.metrics().controlCpuSeconds();
        figures.put("routers", fleet.routers().size());
        figures.put("controlCpuShareOfACore", controlCpuSeconds / routerSeconds);
        figures.put(
                "heapBytesPerRouter",
                measurementAtEnd.metrics().heapBytes() / fleet.routers().size());
        figures.put(
                "attemptsPerRequest",
                results.isEmpty() ? 0 : lastMeasurement.metrics().attempts() / results.size());
        figures.putAll(Figures.firstTokenTimes(measured));
        figures.putAll(Figures.audit(results, lastMeasurement.audit()));
        return figures;
    }
}
