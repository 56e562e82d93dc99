package org.radishpass.controller.internal;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.radishpass.core.converge.Order;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.runtime.http.HttpJson;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * HTTP client that reads the status of engines and sends orders to them.
 *
 * @since 0.1.0
 */
final class EngineClient {
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);
    private static final int OK = 200;

    private final HttpClient client;

    EngineClient(HttpClient client) {
        this.client = client;
    }

    /** Reads the status of an engine. The result is an error if the engine gives no valid answer in time. */
    Mono<EngineStatus> status(VmListing engine) {
        return client.get()
                .uri("http://" + engine.address() + "/v1/status")
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(STATUS_TIMEOUT)
                .map(bytes -> EngineStatus.of(HttpJson.parse(bytes)));
    }

    /** Sends an order if {@code maySend} still holds immediately before the write, and otherwise returns an error. */
    Mono<Integer> sendOrder(VmListing engine, Order order, long epoch, long revision, BooleanSupplier maySend) {
        byte[] body = HttpJson.serialize(
                Map.of("type", order.type().wireName(), "pool", order.pool(), "epoch", epoch, "revision", revision));
        return client.post()
                .uri("http://" + engine.address() + "/v1/orders")
                .send((request, outbound) -> {
                    if (!maySend.getAsBoolean()) {
                        return Mono.error(new IOException("the lease is about to end; the order is not sent"));
                    }
                    return outbound.send(Mono.just(Unpooled.wrappedBuffer(body)));
                })
                .responseSingle((response, content) ->
                        content.asByteArray().thenReturn(response.status().code()))
                .timeout(ORDER_TIMEOUT)
                .flatMap(code ->
                        code == OK ? Mono.just(code) : Mono.error(new IOException("the engine answered " + code)));
    }
}
