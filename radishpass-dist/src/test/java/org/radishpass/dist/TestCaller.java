package org.radishpass.dist;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;

/** An HTTP client that sends requests to routers as callers do. */
final class TestCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client;

    TestCaller(TestFleet fleet) {
        this.client = fleet.runtime().client();
    }

    static String chatBody(String nonce, int tokens, boolean streamed) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", "atlas").put("stream", streamed).put("max_tokens", tokens);
        body.putArray("messages").addObject().put("role", "user").put("content", nonce + " hello");
        return body.toString();
    }

    /** Returns the text that a complete answer of the stand-in engine has. */
    static String expectedText(String nonce, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(nonce).append('-').append(i).append(' ');
        }
        return text.toString();
    }

    /** Returns the concatenated content of all events of a streamed answer. */
    static String streamedText(String stream) {
        StringBuilder text = new StringBuilder();
        String contentKey = "\"content\":\"";
        int at = stream.indexOf(contentKey);
        while (at >= 0) {
            int end = stream.indexOf('"', at + contentKey.length());
            text.append(stream, at + contentKey.length(), end);
            at = stream.indexOf(contentKey, end);
        }
        return text.toString();
    }

    Mono<Reply> chat(String router, String body) {
        return post(router + "/v1/chat/completions", "desk-liguanea", body, null);
    }

    Mono<Reply> order(String router, String number, String key) {
        return post(router + "/services/booking/orders", "foreign-operators", "{\"number\":\"" + number + "\"}", key);
    }

    /** Sends a chat request and returns the chunks of the streamed answer as they arrive. */
    Flux<String> stream(String router, String body) {
        return request("desk-liguanea", null)
                .post()
                .uri(router + "/v1/chat/completions")
                .send(ByteBufMono.fromString(Mono.just(body)))
                .responseContent()
                .asString(StandardCharsets.UTF_8);
    }

    Mono<Reply> post(String address, String workspace, String body, @Nullable String key) {
        AtomicInteger status = new AtomicInteger();
        StringBuilder text = new StringBuilder();
        return request(workspace, key)
                .post()
                .uri(address)
                .send(ByteBufMono.fromString(Mono.just(body)))
                .response((response, content) -> {
                    status.set(response.status().code());
                    return content.asString(StandardCharsets.UTF_8).doOnNext(text::append);
                })
                .then(Mono.fromCallable(() -> new Reply(status.get(), text.toString(), true)))
                .timeout(TIMEOUT)
                .onErrorResume(error -> Mono.just(new Reply(status.get(), text.toString(), false)));
    }

    private HttpClient request(String workspace, @Nullable String key) {
        return client.headers(headers -> {
            headers.set("Authorization", "Bearer " + workspace + ".demo-key-" + workspace);
            headers.set("Content-Type", "application/json");
            if (key != null) {
                headers.set("Idempotency-Key", key);
            }
        });
    }
}
