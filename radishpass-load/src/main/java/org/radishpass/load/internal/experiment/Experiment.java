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
 * What an experiment file says.
 *
 * @param deployment the stand-in deployment
 * @param records the directory of records to apply
 * @param seed the seed of all chance
 * @param routersPerDataCentre how many routers each data centre has
 * @param controllersPerDataCentre how many controllers each data centre has
 * @param warmupSeconds how long load runs before figures are taken
 * @param seconds how long figures are taken
 * @param policies the placement policies, each run afresh
 * @param engine how engines behave
 * @param workloads who asks for what
 * @param mayCut whether routers are killed, so that streams break off and are asked for again
 * @param events what happens when
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
        EngineShape engine,
        List<Workload> workloads,
        @Nullable Boolean mayCut,
        @Nullable List<TimedEvent> events) {
    private static final ObjectMapper YAML =
            new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int MOST_ROUTERS = 16;
    private static final int MOST_SECONDS = 900;

    /**
     * Reads an experiment.
     *
     * @param file the file
     * @throws IOException if it cannot be read
     */
    public static Experiment read(Path file) throws IOException {
        return YAML.readValue(file.toFile(), Experiment.class);
    }

    /** Returns one line for each thing that is wrong; none when it may run. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        if (routersPerDataCentre < 1 || routersPerDataCentre > MOST_ROUTERS) {
            faults.add("routersPerDataCentre is " + routersPerDataCentre + "; write 1 to " + MOST_ROUTERS);
        }
        if (seconds < 1 || seconds + warmupSeconds > MOST_SECONDS) {
            faults.add("seconds and warmupSeconds are over " + MOST_SECONDS + " together");
        }
        if (policies == null || policies.isEmpty()) {
            faults.add("policies is missing; write at least one");
        }
        if (engine == null || workloads == null || workloads.isEmpty()) {
            faults.add("engine or workloads is missing");
        }
        return faults;
    }

    /** Tells whether streams may break off, to be asked for again. */
    public boolean cutsAllowed() {
        return Boolean.TRUE.equals(mayCut);
    }

    /** Returns what happens when; empty if nothing does. */
    public List<TimedEvent> timedEvents() {
        return Objects.requireNonNullElse(events, List.of());
    }
}
