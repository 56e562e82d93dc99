package org.radishpass.load.internal.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.radishpass.load.internal.experiment.EngineParameters;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.runtime.http.HttpJson;

/**
 * Builds the command lines of an experiment's processes, for the script that starts them.
 *
 * @since 0.1.0
 */
public final class ProcessPlan {
    private ProcessPlan() {
        // static methods only
    }

    /**
     * Returns the command-line arguments of the stand-ins.
     *
     * @param experiment the experiment
     * @param runDirectory the directory in which processes write their ports files
     */
    public static String standIn(Experiment experiment, Path runDirectory) {
        EngineParameters engine = experiment.engine();
        return String.join(
                " ",
                List.of(
                        "--deployment", experiment.deployment(),
                        "--run-dir", runDirectory.toString(),
                        "--seed", Long.toString(experiment.seed()),
                        "--capacity", Integer.toString(engine.capacity()),
                        "--prefill-micros", Integer.toString(engine.prefillMicros()),
                        "--decode-micros", Integer.toString(engine.decodeMicros()),
                        "--cache-blocks", Integer.toString(engine.cacheBlocks()),
                        "--report-lag-millis", Integer.toString(engine.reportLagMillis())));
    }

    /**
     * Returns a line for each router and controller with the process name, the program and the arguments.
     *
     * @param experiment the experiment
     * @param runDirectory the directory in which the stand-ins wrote their ports file
     * @throws IOException if the stand-ins' ports file cannot be read
     */
    public static List<String> routersAndControllers(Experiment experiment, Path runDirectory) throws IOException {
        JsonNode standIn = HttpJson.parse(Files.readAllBytes(runDirectory.resolve("standin.json")));
        List<String> lines = new ArrayList<>();
        for (Map.Entry<String, JsonNode> dataCentre : standIn.path("platforms").properties()) {
            String common = " --data-centre " + dataCentre.getKey() + " --platform "
                    + dataCentre.getValue().asText();
            for (int i = 1; i <= experiment.routersPerDataCentre(); i++) {
                String name = "router-" + dataCentre.getKey() + '-' + i;
                lines.add(name + " radishpass-router --id " + name + common + " --balancer-seconds 1 --ports-file "
                        + runDirectory.resolve(name + ".vm.json"));
            }
            for (int i = 1; i <= experiment.controllersPerDataCentre(); i++) {
                String name = "controller-" + dataCentre.getKey() + '-' + i;
                lines.add(name + " radishpass-controller --id " + name + common + " --ports-file "
                        + runDirectory.resolve(name + ".controller.json"));
            }
        }
        return lines;
    }
}
