package org.radishpass.load.internal.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.radishpass.load.internal.drive.Driver;
import org.radishpass.load.internal.drive.FleetAddresses;
import org.radishpass.runtime.http.HttpRuntime;

/**
 * What the stand-ins and the routers counted up to a moment.
 *
 * @param audit what the stand-ins saw run
 * @param samples the load of each serving engine, sample by sample
 * @param metrics what the routers counted
 * @since 0.1.0
 */
public record Measurement(JsonNode audit, JsonNode samples, RouterMetrics metrics) {
    /** A reading before anything was counted. */
    public static final Measurement EMPTY =
            new Measurement(MissingNode.getInstance(), MissingNode.getInstance(), new RouterMetrics(Map.of(), 0, 0, 0));

    private static final Duration PATIENCE = Duration.ofSeconds(5);

    /**
     * Takes a reading.
     *
     * @param driver asks the stand-ins
     * @param fleet where processes answer
     * @param runtime event loops and clients
     */
    public static Measurement take(Driver driver, FleetAddresses fleet, HttpRuntime runtime) {
        return new Measurement(
                driver.ask(fleet.faults() + "/audit"),
                driver.ask(fleet.faults() + "/load").path("samples"),
                metrics(fleet, runtime));
    }

    private static RouterMetrics metrics(FleetAddresses fleet, HttpRuntime runtime) {
        List<String> pages = fleet.routers().stream()
                .map(router -> runtime.client()
                        .get()
                        .uri(router + "/metrics")
                        .responseContent()
                        .aggregate()
                        .asString(StandardCharsets.UTF_8)
                        .timeout(PATIENCE)
                        .onErrorReturn("")
                        .blockOptional()
                        .orElse(""))
                .toList();
        return RouterMetrics.of(pages);
    }
}
