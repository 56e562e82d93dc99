package org.radishpass.router.internal.traffic;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import org.radishpass.core.outcome.RefusalCode;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads the bodies of callers' requests, up to a maximum size.
 *
 * @since 0.1.0
 */
final class RequestBodies {
    static final int MAX_BYTES = 4 * 1024 * 1024;

    private RequestBodies() {
        // not instantiable
    }

    static Mono<byte[]> read(HttpServerRequest request) {
        return request.receive()
                .reduceWith(ByteArrayOutputStream::new, RequestBodies::append)
                .map(ByteArrayOutputStream::toByteArray);
    }

    private static ByteArrayOutputStream append(ByteArrayOutputStream body, ByteBuf next) {
        if (body.size() + next.readableBytes() > MAX_BYTES) {
            throw RefusedException.notRun(RefusalCode.TOO_LARGE, "the body is larger than " + MAX_BYTES + " bytes");
        }
        byte[] bytes = new byte[next.readableBytes()];
        next.readBytes(bytes);
        body.writeBytes(bytes);
        return body;
    }
}
