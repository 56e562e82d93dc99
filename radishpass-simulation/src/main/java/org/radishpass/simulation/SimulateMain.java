package org.radishpass.simulation;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Command-line program that simulates an experiment file with different sets of router policies and prints a
 * comparison. Every set is simulated with the same seeds.
 *
 * @since 0.4.0
 */
public final class SimulateMain {
    private static final int USAGE_EXIT_CODE = 2;

    @Argument(required = true, metaVar = "FILE", usage = "the experiment, see experiments/simulation")
    private Path file = Path.of("");

    @Option(name = "--seeds", metaVar = "N..M", usage = "the seeds that are played")
    private String seeds = "1..5";

    @Option(name = "--classes", usage = "print a line for each class of requests, with all policies")
    private boolean printClasses;

    private SimulateMain() {
        // args4j sets the fields
    }

    /**
     * Parses the arguments, runs the simulations and prints the comparison. Exits with code 2 if the arguments or the
     * file are invalid.
     *
     * @param arguments the command line: {@code FILE [--seeds N..M] [--classes]}
     */
    @SuppressWarnings({"PMD.SystemPrintln", "PMD.DoNotTerminateVM"})
    public static void main(String... arguments) {
        SimulateMain command = new SimulateMain();
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(arguments);
            command.run(System.out);
        } catch (CmdLineException | IOException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.err.println("usage: simulate FILE [--seeds N..M] [--classes]");
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private void run(PrintStream out) throws IOException {
        ExperimentFile experiment = ExperimentFile.read(file);
        List<Long> seedList = parseSeeds(seeds);
        out.printf("%-32s %-19s %9s %9s %8s %10s%n", "policies", "in time", "refused", "failed", "tries", "read again");
        for (Map.Entry<String, Set<Policy>> policySet : comparedPolicySets().entrySet()) {
            List<Report> reports = new ArrayList<>();
            seedList.forEach(seed -> reports.add(Simulation.run(
                    experiment.deployment(),
                    policySet.getValue(),
                    seed,
                    experiment.fromMillis(),
                    experiment.untilMillis())));
            out.println(summaryLine(policySet.getKey(), reports));
        }
        if (printClasses) {
            for (long seed : seedList) {
                out.print(Simulation.run(
                                experiment.deployment(),
                                Policy.all(),
                                seed,
                                experiment.fromMillis(),
                                experiment.untilMillis())
                        .table());
            }
        }
    }

    private static Map<String, Set<Policy>> comparedPolicySets() {
        Map<String, Set<Policy>> compared = new LinkedHashMap<>();
        compared.put("none", Policy.none());
        compared.put("all", Policy.all());
        for (Policy policy : Policy.values()) {
            compared.put("without " + policy, Policy.allBut(policy));
        }
        return compared;
    }

    private static String summaryLine(String name, List<Report> reports) {
        double lowest = reports.stream().mapToDouble(Report::inTime).min().orElse(0);
        double highest = reports.stream().mapToDouble(Report::inTime).max().orElse(0);
        return String.format(
                Locale.ROOT,
                "%-32s %.4f %.4f-%.4f %7.1f %9.1f %8.1f %10.0f",
                name,
                reports.stream().mapToDouble(Report::inTime).average().orElse(0),
                lowest,
                highest,
                reports.stream().mapToInt(Report::refused).average().orElse(0),
                reports.stream().mapToInt(Report::failed).average().orElse(0),
                reports.stream().mapToInt(Report::secondTries).average().orElse(0),
                reports.stream().mapToLong(Report::readAgainTokens).average().orElse(0));
    }

    private static List<Long> parseSeeds(String text) {
        String[] ends = text.split("\\.\\.", -1);
        List<Long> seeds = new ArrayList<>();
        for (long seed = Long.parseLong(ends[0]); seed <= Long.parseLong(ends[ends.length - 1]); seed++) {
            seeds.add(seed);
        }
        if (seeds.isEmpty()) {
            throw new IllegalArgumentException("--seeds: the range " + text + " contains no seed");
        }
        return seeds;
    }
}
