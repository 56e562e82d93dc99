package org.radishpass.router.internal.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.metrics.CountingHandler;
import org.radishpass.runtime.metrics.TrafficMeter;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Probes endpoints for their status over HTTP.
 *
 * @since 0.1.0
 */
public final class EndpointProbe {
    private static final String STATUS_PATH = "/v1/status";
    private static final String TRAFFIC_KIND = "probe";
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final HttpClient client;

    /**
     * Creates a probe.
     *
     * @param client the HTTP client
     * @param meter counts the bytes of probe traffic
     */
    public EndpointProbe(HttpClient client, TrafficMeter meter) {
        this.client = CountingHandler.countingClient(client, TRAFFIC_KIND, meter);
    }

    /**
     * Requests the status of an endpoint.
     *
     * @param endpoint the endpoint to probe
     * @return the report, or an error if the endpoint does not respond in time
     */
    public Mono<EndpointReport> probe(Endpoint endpoint) {
        return client.get()
                .uri("http://" + endpoint.address() + STATUS_PATH)
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(TIMEOUT)
                .map(bytes -> report(endpoint.id(), HttpJson.parse(bytes)));
    }

    private static EndpointReport report(String endpointId, JsonNode status) {
        Set<String> pools = new HashSet<>();
        status.path("pools").forEach(pool -> pools.add(pool.asText()));
        return new EndpointReport(
                endpointId,
                status.path("incarnation").asText(),
                status.path("sequence").asLong(),
                state(status.path("state").asText()),
                pools,
                status.path("running").asInt(),
                status.path("capacity").asInt());
    }

    private static EndpointState state(String name) {
        try {
            return EndpointState.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            return EndpointState.JOINING;
        }
    }
}
