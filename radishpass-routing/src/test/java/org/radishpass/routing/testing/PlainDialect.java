package org.radishpass.routing.testing;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.ForwardingHeaders;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.RequestHead;
import org.radishpass.routing.dialect.ResponseHead;

/** A dialect for tests, with its own header names. */
public final class PlainDialect implements RequestDialect {
    /** Header with the id of a request, in requests and responses. */
    public static final String ID = "X-Id";

    /** Header with the name of the only endpoint that may run the request. */
    public static final String ENDPOINT = "X-Endpoint";

    /** Header with the time left for the response, in milliseconds. */
    public static final String LEFT = "X-Left";

    /** Header of a response which states that the request was not run. */
    public static final String NOT_RUN = "X-Not-Run";

    /** Header with the id of the event after which the response is to continue. */
    public static final String AFTER = "X-After";

    /** Header with the id of the attempt that brought the first event of the stream that is taken up. */
    public static final String RESUMES = "X-Resumes";

    /** Header that marks a response as unsigned. */
    public static final String UNSIGNED = "X-Unsigned";

    /** Header of a response which states that the endpoint is draining. */
    public static final String LEAVING = "X-Leaving";

    /** Header with the time for which the endpoint asks to be sent nothing, in milliseconds. */
    public static final String BACKOFF = "X-Backoff";

    /** Header with the name of the workspace. */
    public static final String WORKSPACE = "X-Workspace";

    /** Header with the ids of the parts of the prompt, separated by commas. */
    public static final String PROMPT = "X-Prompt";

    @Override
    public RequestHead decode(HttpRequest request) {
        HttpHeaders headers = request.headers();
        String timeout = headers.get("X-Patience");
        String key = headers.get(HttpHeaderNames.AUTHORIZATION);
        return new RequestHead(
                headers.get(ID, ""),
                headers.get(HttpHeaderNames.HOST, ""),
                request.uri(),
                timeout == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(timeout)),
                key,
                prompt(headers.get(PROMPT)),
                headers.get(AFTER),
                headers.get(RESUMES));
    }

    private static @Nullable PromptDescription prompt(@Nullable String ids) {
        return ids == null
                ? null
                : new PromptDescription(
                        "model",
                        0,
                        0,
                        Stream.of(ids.split(",", -1))
                                .map(id -> new PromptPart(id, 100))
                                .toList());
    }

    @Override
    public void encode(HttpHeaders headers, ForwardingHeaders forwarding) {
        headers.remove(HttpHeaderNames.AUTHORIZATION);
        headers.remove(WORKSPACE);
        headers.set(ENDPOINT, forwarding.endpointName());
        headers.set(LEFT, forwarding.remainingMillis());
        forwarding.workspace().ifPresent(name -> headers.set(WORKSPACE, name));
        forwarding.lastEventId().ifPresent(id -> headers.set(AFTER, id));
    }

    @Override
    public void removeKey(HttpHeaders headers) {
        headers.remove(HttpHeaderNames.AUTHORIZATION);
    }

    @Override
    public ResponseHead decodeResponse(HttpResponse response) {
        String backoff = response.headers().get(BACKOFF);
        return ResponseHead.builder(response.status().code())
                .notRun(response.headers().contains(NOT_RUN))
                .requestId(response.headers().get(ID))
                .ambiguous(response.headers().getAll(ID).size() > 1)
                .signed(!response.headers().contains(UNSIGNED))
                .closing(response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true))
                .leaving(response.headers().contains(LEAVING))
                .retryAfterMillis(backoff == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(backoff)))
                .build();
    }

    @Override
    public boolean endpointsEchoIds() {
        return true;
    }
}
