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
 * Asks endpoints how they are.
 *
 * @since 0.1.0
 */
public final class EndpointProbe {
    private static final String PATH = "/v1/status";
    private static final String KIND = "probe";
    private static final Duration PATIENCE = Duration.ofMillis(900);

    private final HttpClient client;

    /**
     * Creates a probe.
     *
     * @param client the HTTP client
     * @param meter counts the bytes
     */
    public EndpointProbe(HttpClient client, TrafficMeter meter) {
        this.client = CountingHandler.counted(client, KIND, meter);
    }

    /**
     * Asks an endpoint; it ends in an error when none comes.
     *
     * @param endpoint the endpoint
     */
    public Mono<EndpointReport> ask(Endpoint endpoint) {
        return client.get()
                .uri("http://" + endpoint.address() + PATH)
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(PATIENCE)
                .map(bytes -> report(endpoint.id(), HttpJson.parse(bytes)));
    }

    private static EndpointReport report(String id, JsonNode status) {
        Set<String> pools = new HashSet<>();
        status.path("pools").forEach(pool -> pools.add(pool.asText()));
        return new EndpointReport(
                id,
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
