package org.radishpass.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Reads and writes JSON bodies of HTTP messages.
 *
 * @since 0.1.0
 */
public final class HttpJson {
    /** The media type of JSON. */
    public static final String MEDIA_TYPE = "application/json";

    private static final ObjectMapper JSON = new ObjectMapper();

    private HttpJson() {
        // static methods only
    }

    /**
     * Sends a response with a JSON body.
     *
     * @param response the response
     * @param status the HTTP status
     * @param body the object to serialize
     */
    public static Publisher<Void> send(HttpServerResponse response, int status, Object body) {
        byte[] bytes = serialize(body);
        return response.status(HttpResponseStatus.valueOf(status))
                .header(HttpHeaderNames.CONTENT_TYPE, MEDIA_TYPE)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length))
                .sendByteArray(Mono.just(bytes));
    }

    /**
     * Reads and parses the JSON body of a request.
     *
     * @param request the request
     */
    public static Mono<JsonNode> read(HttpServerRequest request) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .map(HttpJson::parse);
    }

    /**
     * Parses JSON.
     *
     * @param bytes the JSON text in UTF-8; no bytes give an empty object
     * @throws UncheckedIOException if the text is malformed
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Serializes an object as JSON in UTF-8.
     *
     * @param body the object to serialize
     */
    public static byte[] serialize(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
