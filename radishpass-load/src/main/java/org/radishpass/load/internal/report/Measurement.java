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
 * Counters and samples of the stand-ins and the routers at one point in time.
 *
 * @param audit the stand-ins' audit: counts of the requests and orders that ran
 * @param samples the samples, each with the load of every serving engine
 * @param metrics the metrics of all routers together
 * @since 0.1.0
 */
public record Measurement(JsonNode audit, JsonNode samples, RouterMetrics metrics) {
    /** A measurement without any counts or samples. */
    public static final Measurement EMPTY =
            new Measurement(MissingNode.getInstance(), MissingNode.getInstance(), new RouterMetrics(Map.of(), 0, 0, 0));

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Reads the current counters and samples. A router that does not respond counts as 0.
     *
     * @param driver the driver that reads from the stand-ins
     * @param fleet the addresses of the processes
     * @param runtime the event loops and HTTP clients
     */
    public static Measurement take(Driver driver, FleetAddresses fleet, HttpRuntime runtime) {
        return new Measurement(
                driver.getJson(fleet.faultServer() + "/audit"),
                driver.getJson(fleet.faultServer() + "/load").path("samples"),
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
                        .timeout(REQUEST_TIMEOUT)
                        .onErrorReturn("")
                        .blockOptional()
                        .orElse(""))
                .toList();
        return RouterMetrics.parse(pages);
    }
}
