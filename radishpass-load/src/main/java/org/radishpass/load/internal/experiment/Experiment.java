package org.radishpass.load.internal.experiment;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * An experiment, as read from a YAML file.
 *
 * @param deployment the name of the stand-in deployment
 * @param records the directory of the configuration records to apply
 * @param seed the seed of the random generators
 * @param routersPerDataCentre the number of routers in each data centre
 * @param controllersPerDataCentre the number of controllers in each data centre
 * @param warmupSeconds how long load runs before the measurement starts, in seconds
 * @param seconds the duration of the measurement, in seconds
 * @param policies the placement policies, each measured in a separate run
 * @param engine the parameters of the stand-in engines
 * @param workloads the load of each workspace
 * @param mayCut whether streams may break off, because routers are killed, and are then requested again; false if
 *     missing
 * @param events the faults and signals during the run; none if missing
 * @since 0.1.0
 */
public record Experiment(
        String deployment,
        String records,
        long seed,
        int routersPerDataCentre,
        int controllersPerDataCentre,
        int warmupSeconds,
        int seconds,
        List<String> policies,
        EngineParameters engine,
        List<Workload> workloads,
        @Nullable Boolean mayCut,
        @Nullable List<TimedEvent> events) {
    private static final ObjectMapper YAML =
            new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int MAX_ROUTERS_PER_DATA_CENTRE = 16;
    private static final int MAX_TOTAL_SECONDS = 900;

    /**
     * Reads an experiment from a YAML file.
     *
     * @param file the file
     * @throws IOException if the file cannot be read or is not a valid experiment
     */
    public static Experiment read(Path file) throws IOException {
        return YAML.readValue(file.toFile(), Experiment.class);
    }

    /** Returns a message for each error in the experiment; empty if the experiment can run. */
    public List<String> validationErrors() {
        List<String> errors = new ArrayList<>();
        if (routersPerDataCentre < 1 || routersPerDataCentre > MAX_ROUTERS_PER_DATA_CENTRE) {
            errors.add(
                    "routersPerDataCentre is " + routersPerDataCentre + "; write 1 to " + MAX_ROUTERS_PER_DATA_CENTRE);
        }
        if (seconds < 1 || seconds + warmupSeconds > MAX_TOTAL_SECONDS) {
            errors.add("the sum of seconds and warmupSeconds exceeds " + MAX_TOTAL_SECONDS + " seconds");
        }
        if (policies == null || policies.isEmpty()) {
            errors.add("policies is missing; write at least one");
        }
        if (engine == null || workloads == null || workloads.isEmpty()) {
            errors.add("engine or workloads is missing");
        }
        return errors;
    }

    /** Returns whether streams may break off and are then requested again. */
    public boolean cutsAllowed() {
        return Boolean.TRUE.equals(mayCut);
    }

    /** Returns the faults and signals during the run; empty if there are none. */
    public List<TimedEvent> timedEvents() {
        return Objects.requireNonNullElse(events, List.of());
    }
}
