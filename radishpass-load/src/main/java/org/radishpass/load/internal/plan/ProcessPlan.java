package org.radishpass.load.internal.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.radishpass.load.internal.experiment.EngineShape;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.runtime.http.HttpJson;

/**
 * The command lines of the processes that an experiment needs, for the script that starts them.
 *
 * @since 0.1.0
 */
public final class ProcessPlan {
    private ProcessPlan() {
        // static methods only
    }

    /**
     * Returns the arguments of the stand-ins.
     *
     * @param experiment the experiment
     * @param runDirectory where processes write their ports
     */
    public static String standIn(Experiment experiment, Path runDirectory) {
        EngineShape engine = experiment.engine();
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
     * Returns a line for each router and controller: its name, its program and its arguments.
     *
     * @param experiment the experiment
     * @param runDirectory where the stand-ins wrote their ports
     * @throws IOException if the stand-ins' ports cannot be read
     */
    public static List<String> routersAndControllers(Experiment experiment, Path runDirectory) throws IOException {
        JsonNode standIn = HttpJson.parse(Files.readAllBytes(runDirectory.resolve("standin.json")));
        List<String> lines = new ArrayList<>();
        for (Map.Entry<String, JsonNode> place : standIn.path("platforms").properties()) {
            String common = " --data-centre " + place.getKey() + " --platform "
                    + place.getValue().asText();
            for (int i = 1; i <= experiment.routersPerDataCentre(); i++) {
                String name = "router-" + place.getKey() + '-' + i;
                lines.add(name + " radishpass-router --id " + name + common + " --balancer-seconds 1 --ports-file "
                        + runDirectory.resolve(name + ".vm.json"));
            }
            for (int i = 1; i <= experiment.controllersPerDataCentre(); i++) {
                String name = "controller-" + place.getKey() + '-' + i;
                lines.add(name + " radishpass-controller --id " + name + common + " --ports-file "
                        + runDirectory.resolve(name + ".controller.json"));
            }
        }
        return lines;
    }
}
