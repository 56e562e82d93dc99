package org.radishpass.tables.table;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.radishpass.records.RecordJson;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;

/**
 * Client of the table service over HTTP, with JSON bodies.
 *
 * @since 0.1.0
 */
public final class HttpTableService implements TableService {
    private static final String PATH = "/v1/tables/transact";
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpClient client;
    private final String baseAddress;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param client the HTTP client; must not retry requests by itself
     * @param baseAddress the base URL of the platform
     * @param timeout the timeout of one transaction
     */
    public HttpTableService(HttpClient client, String baseAddress, Duration timeout) {
        this.client = client.headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
        this.baseAddress = baseAddress;
        this.timeout = timeout;
    }

    @Override
    public Mono<TableResult> transact(TableTransaction transaction) {
        return client.post()
                .uri(baseAddress + PATH)
                .send(ByteBufMono.fromString(Mono.fromCallable(() -> body(transaction))))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> result(response.status().code(), bytes)))
                .timeout(timeout)
                .onErrorResume(HttpTableService::failure);
    }

    private static Mono<TableResult> failure(Throwable error) {
        if (error instanceof ConnectException) {
            return Mono.just(new TableResult.Refused("no connection: " + error.getMessage()));
        }
        return Mono.just(new TableResult.Unknown(String.valueOf(error)));
    }

    private static String body(TableTransaction transaction) throws IOException {
        return RecordJson.mapper().writeValueAsString(transaction);
    }

    private static TableResult result(int status, byte[] bytes) {
        try {
            JsonNode body = RecordJson.mapper().readTree(bytes);
            return switch (status) {
                case OK -> committed(body);
                case CONFLICT -> new TableResult.Conflict(body.path("key").asText());
                case TOO_MANY_REQUESTS, UNAVAILABLE ->
                    new TableResult.Refused(body.path("detail").asText("refused"));
                default -> new TableResult.Unknown("status " + status);
            };
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static TableResult committed(JsonNode body) {
        if (!body.path("rows").isArray() || !body.path("scans").isArray()) {
            return new TableResult.Unknown("the response ended without its rows");
        }
        List<TableRow> rows = rows(body.path("rows"));
        List<List<TableRow>> scans = new ArrayList<>();
        body.path("scans").forEach(scan -> scans.add(rows(scan)));
        return new TableResult.Committed(rows, scans);
    }

    private static List<TableRow> rows(JsonNode array) {
        List<TableRow> rows = new ArrayList<>();
        for (JsonNode row : array) {
            JsonNode value = row.path("value");
            boolean absent = value.isMissingNode() || value.isNull();
            rows.add(new TableRow(row.path("key").asText(), row.path("version").asLong(), absent ? null : value));
        }
        return rows;
    }
}
