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
import org.radishpass.load.internal.drive.Propagation;
import org.radishpass.load.internal.drive.Result;
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
 * The load program: plans the processes of an experiment for the script that starts them, and drives them.
 *
 * @since 0.1.0
 */
public final class LoadMain {
    private static final double BOUND = 1.25;

    private final LoadSettings settings;
    private final Experiment experiment;
    private final PrintStream out;
    private volatile Measurement atFigures = Measurement.EMPTY;
    private volatile Measurement atEnd = Measurement.EMPTY;

    private LoadMain(LoadSettings settings, Experiment experiment, PrintStream out) {
        this.settings = settings;
        this.experiment = experiment;
        this.out = out;
    }

    /**
     * Runs one command.
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
            case "slopes" -> slopes(settings, System.out);
            case "tables" -> tables(settings, System.out);
            default -> new LoadMain(settings, settings.experiment(), System.out).run();
        };
    }

    private static ExitCode slopes(LoadSettings settings, PrintStream out) throws IOException {
        SlopeReport report = new SlopeReport(SlopeBench.run(), SlopeBench.messages());
        report.write(Objects.requireNonNull(settings.json()));
        return tables(settings, out);
    }

    private static ExitCode tables(LoadSettings settings, PrintStream out) throws IOException {
        SlopeReport.read(Objects.requireNonNull(settings.json())).tables().forEach(out::println);
        return ExitCode.OK;
    }

    private ExitCode run() throws IOException, InterruptedException {
        return switch (settings.command()) {
            case "policies" -> print(experiment.policies());
            case "records" -> print(List.of(experiment.records()));
            case "standin" -> print(List.of(ProcessPlan.standIn(experiment, settings.runDirectory())));
            case "plan" -> print(ProcessPlan.routersAndControllers(experiment, settings.runDirectory()));
            case "propagate" -> propagate();
            default -> drive();
        };
    }

    private ExitCode print(List<String> lines) {
        lines.forEach(out::println);
        return ExitCode.OK;
    }

    private ExitCode propagate() throws IOException, InterruptedException {
        try (HttpRuntime runtime = new HttpRuntime("load", 3)) {
            FleetAddresses fleet = FleetAddresses.read(settings.runDirectory());
            Driver driver = new Driver(experiment, fleet, runtime, out);
            driver.awaitReady();
            Map<String, Object> figures = new Propagation(driver, fleet, runtime).run(settings.changes());
            RunReport.lines(figures).forEach(line -> out.println("# " + line));
            if (settings.json() != null) {
                RunReport.add(settings.json(), settings.policy(), figures);
            }
            return ExitCode.OK;
        }
    }

    private ExitCode drive() throws IOException, InterruptedException {
        try (HttpRuntime runtime = new HttpRuntime("load", 3)) {
            FleetAddresses fleet = FleetAddresses.read(settings.runDirectory());
            Driver driver = new Driver(experiment, fleet, runtime, out);
            driver.awaitReady();
            Map<String, Object> figures = figures(driver, fleet, runtime);
            RunReport.lines(figures).forEach(line -> out.println("# " + line));
            if (settings.json() != null) {
                RunReport.add(settings.json(), settings.policy(), figures);
            }
            return RunReport.sound(figures, experiment.cutsAllowed()) ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private Map<String, Object> figures(Driver driver, FleetAddresses fleet, HttpRuntime runtime)
            throws InterruptedException {
        List<Result> results = driver.run(
                () -> {
                    driver.put("/load/reset", Map.of());
                    atFigures = Measurement.take(driver, fleet, runtime);
                },
                () -> atEnd = Measurement.take(driver, fleet, runtime));
        Measurement last = Measurement.take(driver, fleet, runtime);
        long warmup = TimeUnit.SECONDS.toNanos(experiment.warmupSeconds());
        List<Result> measured = results.stream()
                .filter(result -> result.arrival().atNanos() >= warmup)
                .toList();
        Map<String, Double> bytes = atEnd.metrics()
                .bytesPerSecond(
                        atFigures.metrics(),
                        experiment.seconds(),
                        fleet.routers().size());
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.putAll(Figures.counts(results, experiment.warmupSeconds() + (double) experiment.seconds()));
        figures.putAll(Figures.reuse(atFigures.audit(), last.audit(), measured));
        figures.putAll(Figures.skew(atEnd.samples(), BOUND));
        figures.put("skew", figures.get("skewPeakToMean"));
        figures.put(
                "controlBytesPerSecondPerRouter",
                bytes.values().stream().mapToDouble(Double::doubleValue).sum());
        figures.put("controlBytesByKind", bytes);
        double routerSeconds = (double) experiment.seconds() * fleet.routers().size();
        double cpu = atEnd.metrics().controlCpuSeconds() - atFigures.metrics().controlCpuSeconds();
        figures.put("routers", fleet.routers().size());
        figures.put("controlCpuShareOfACore", cpu / routerSeconds);
        figures.put(
                "heapBytesPerRouter",
                atEnd.metrics().heapBytes() / fleet.routers().size());
        figures.put("attemptsPerRequest", results.isEmpty() ? 0 : last.metrics().attempts() / results.size());
        figures.putAll(Figures.times(measured));
        figures.putAll(Figures.audit(results, last.audit()));
        return figures;
    }
}
