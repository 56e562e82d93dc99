package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * The platform's services behind one HTTP port.
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
    private final VmListStandIn vms;
    private final DisposableServer server;

    /**
     * Creates a server and listens.
     *
     * @param runtime the event loops
     * @param table the table service
     * @param objects the object store
     * @param vms the VM list
     */
    public PlatformServer(HttpRuntime runtime, TableStandIn table, ObjectStoreStandIn objects, VmListStandIn vms) {
        this.table = table;
        this.objects = objects;
        this.vms = vms;
        this.server = runtime.server("127.0.0.1", 0).route(this::routes).bindNow();
    }

    /** Returns the port it listens on. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow(Duration.ofSeconds(1));
    }

    private void routes(HttpServerRoutes routes) {
        routes.post("/v1/tables/transact", this::transact)
                .get("/v1/tables/counts", (request, response) -> HttpJson.send(response, OK, table.counts()))
                .get("/v1/vms", this::list)
                .get("/v1/objects/{key}", this::read)
                .put("/v1/objects/{key}", this::write)
                .delete("/v1/objects/{key}", this::delete);
    }

    private Publisher<Void> transact(HttpServerRequest request, HttpServerResponse response) {
        return HttpJson.read(request).flatMap(transaction -> {
            long delay = table.faults().delayMillis();
            Mono<Void> answer = Mono.defer(() -> answer(transaction, response));
            return delay == 0 ? answer : Mono.delay(Duration.ofMillis(delay)).then(answer);
        });
    }

    private Mono<Void> answer(JsonNode transaction, HttpServerResponse response) {
        TableAnswer answer = table.transact(transaction);
        if (answer.lost()) {
            response.withConnection(connection -> connection.dispose());
            return Mono.never();
        }
        return Mono.from(HttpJson.send(response, answer.status(), answer.body()));
    }

    private Publisher<Void> list(HttpServerRequest request, HttpServerResponse response) {
        String uri = request.uri();
        int equals = uri.indexOf("observer=");
        String observer = equals < 0 ? "" : uri.substring(equals + "observer=".length());
        byte[] body = HttpJson.bytes(Map.of("vms", vms.list(observer)));
        String tag = '"' + Long.toHexString(Rendezvous.hash(new String(body, StandardCharsets.UTF_8))) + '"';
        response.header(HttpHeaderNames.ETAG, tag);
        if (tag.equals(request.requestHeaders().get(HttpHeaderNames.IF_NONE_MATCH))) {
            return response.status(NOT_MODIFIED).send();
        }
        return response.sendByteArray(Mono.just(body));
    }

    private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
        return objects.get(String.valueOf(request.param(KEY)))
                .<Publisher<Void>>map(content -> response.sendByteArray(Mono.just(content)))
                .orElseGet(() -> response.status(NOT_FOUND).send());
    }

    private Publisher<Void> write(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .doOnNext(content -> objects.put(String.valueOf(request.param(KEY)), content))
                .then(Mono.from(response.status(OK).send()));
    }

    private Publisher<Void> delete(HttpServerRequest request, HttpServerResponse response) {
        objects.delete(String.valueOf(request.param(KEY)));
        return response.status(OK).send();
    }
}
