package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.http.Shutdown;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * HTTP server for the stand-ins of the table service, the object store and the VM list.
 *
 * @since 0.1.0
 */
public final class PlatformServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final String KEY = "key";

    private final TableStandIn table;
    private final ObjectStoreStandIn objects;
    private final VmListStandIn vmList;
    private final DisposableServer server;

    /**
     * Starts the server on a free local port.
     *
     * @param runtime the HTTP event loops
     * @param table the table service
     * @param objects the object store
     * @param vmList the VM list
     */
    public PlatformServer(HttpRuntime runtime, TableStandIn table, ObjectStoreStandIn objects, VmListStandIn vmList) {
        this.table = table;
        this.objects = objects;
        this.vmList = vmList;
        this.server = runtime.server("127.0.0.1", 0).route(this::addRoutes).bindNow();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        Shutdown.stop(server, "the server of the platform stand-in", Duration.ofSeconds(1));
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.post("/v1/tables/transact", this::transact)
                .get("/v1/tables/counts", (request, response) -> HttpJson.send(response, OK, table.counts()))
                .get("/v1/vms", this::sendVmList)
                .get("/v1/objects/{key}", this::readObject)
                .put("/v1/objects/{key}", this::writeObject)
                .delete("/v1/objects/{key}", this::deleteObject);
    }

    private Publisher<Void> transact(HttpServerRequest request, HttpServerResponse response) {
        return HttpJson.read(request).flatMap(transaction -> {
            long delay = table.faults().delayMillis();
            Mono<Void> execution = Mono.defer(() -> executeTransaction(transaction, response));
            return delay == 0 ? execution : Mono.delay(Duration.ofMillis(delay)).then(execution);
        });
    }

    private Mono<Void> executeTransaction(JsonNode transaction, HttpServerResponse response) {
        TableResponse result = table.transact(transaction);
        if (result.lost()) {
            response.withConnection(connection -> connection.dispose());
            return Mono.never();
        }
        return Mono.from(HttpJson.send(response, result.status(), result.body()));
    }

    private Publisher<Void> sendVmList(HttpServerRequest request, HttpServerResponse response) {
        String uri = request.uri();
        int parameterStart = uri.indexOf("observer=");
        String observer = parameterStart < 0 ? "" : uri.substring(parameterStart + "observer=".length());
        byte[] body = HttpJson.serialize(Map.of("vms", vmList.list(observer)));
        String etag = '"' + Long.toHexString(Rendezvous.hash(new String(body, StandardCharsets.UTF_8))) + '"';
        response.header(HttpHeaderNames.ETAG, etag);
        if (etag.equals(request.requestHeaders().get(HttpHeaderNames.IF_NONE_MATCH))) {
            return response.status(NOT_MODIFIED).send();
        }
        return response.sendByteArray(Mono.just(body));
    }

    private Publisher<Void> readObject(HttpServerRequest request, HttpServerResponse response) {
        return objects.get(String.valueOf(request.param(KEY)))
                .<Publisher<Void>>map(content -> response.sendByteArray(Mono.just(content)))
                .orElseGet(() -> response.status(NOT_FOUND).send());
    }

    private Publisher<Void> writeObject(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .doOnNext(content -> objects.put(String.valueOf(request.param(KEY)), content))
                .then(Mono.from(response.status(OK).send()));
    }

    private Publisher<Void> deleteObject(HttpServerRequest request, HttpServerResponse response) {
        objects.delete(String.valueOf(request.param(KEY)));
        return response.status(OK).send();
    }
}
