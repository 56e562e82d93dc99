package org.radishpass.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.runtime.settings.CommonSettings;
import org.radishpass.runtime.settings.SettingChecks;

/**
 * Command-line settings of the load program.
 *
 * @since 0.1.0
 */
public final class LoadSettings extends CommonSettings {
    private static final List<String> COMMANDS =
            List.of("policies", "records", "standin", "plan", "drive", "propagate", "slopes", "tables");

    @Argument(
            index = 0,
            metaVar = "COMMAND",
            usage = "policies, records, standin, plan, drive, propagate, slopes or tables")
    private String command = "";

    @Argument(index = 1, metaVar = "EXPERIMENT", usage = "experiment file")
    private @Nullable Path experimentFile;

    @Option(name = "--run-dir", metaVar = "DIR", usage = "directory where processes write their ports")
    private @Nullable Path runDirectory;

    @Option(name = "--policy", metaVar = "NAME", usage = "placement policy under which the fleet runs")
    private String policy = "bounded-affinity";

    @Option(name = "--changes", metaVar = "N", usage = "changes of configuration to time")
    private int changes = 300;

    @Option(name = "--json", metaVar = "FILE", usage = "report to write, or to add this policy to")
    private @Nullable Path reportFile;

    private @Nullable Experiment experiment;

    @Override
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        if (help() || version()) {
            return faults;
        }
        if (!COMMANDS.contains(command)) {
            faults.add("COMMAND is '" + command + "'; write one of " + COMMANDS);
        }
        if ("slopes".equals(command) || "tables".equals(command)) {
            SettingChecks.present("--json", reportFile == null ? null : reportFile.toString(), faults);
            return faults;
        }
        readExperiment(faults);
        boolean needsRun = !"policies".equals(command) && !"records".equals(command);
        if (needsRun && (runDirectory == null || !Files.isDirectory(runDirectory))) {
            faults.add("--run-dir is not a directory");
        }
        return faults;
    }

    private void readExperiment(List<String> faults) {
        if (experimentFile == null || !Files.isRegularFile(experimentFile)) {
            faults.add("EXPERIMENT is not a file");
            return;
        }
        try {
            experiment = Experiment.read(experimentFile);
            experiment.validationErrors().forEach(error -> faults.add(experimentFile + ": " + error));
        } catch (IOException e) {
            faults.add(experimentFile + ": " + e.getMessage());
        }
    }

    /** Returns the name of the command. */
    public String command() {
        return command;
    }

    /** Returns the experiment that was read from the experiment file. */
    public Experiment experiment() {
        return Objects.requireNonNull(experiment);
    }

    /** Returns the directory of the ports files. */
    public Path runDirectory() {
        return Objects.requireNonNull(runDirectory);
    }

    /** Returns the name of the placement policy under which the fleet runs. */
    public String policy() {
        return policy;
    }

    /** Returns the number of configuration changes to time. */
    public int changes() {
        return changes;
    }

    /** Returns the report file to write, or null if no report is wanted. */
    public @Nullable Path reportFile() {
        return reportFile;
    }
}
