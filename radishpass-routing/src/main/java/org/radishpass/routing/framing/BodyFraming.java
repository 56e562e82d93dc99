package org.radishpass.routing.framing;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/**
 * The framing of a response body, which tells where the body ends (RFC 9112, section 6.3).
 *
 * @since 0.10.0
 */
public enum BodyFraming {
    /** The response has no body, whatever its headers say. */
    NONE(EndEvidence.NO_BODY),
    /** The head states the length of the body. */
    LENGTH(EndEvidence.LENGTH_REACHED),
    /** The body ends with a chunk of length zero. */
    CHUNKED(EndEvidence.CHUNKS_ENDED),
    /** The body ends with the connection, so that its end looks like the loss of the connection. */
    CLOSE_DELIMITED(EndEvidence.CONNECTION_ENDED);

    private final EndEvidence evidence;

    BodyFraming(EndEvidence evidence) {
        this.evidence = evidence;
    }

    /**
     * Returns the framing of a response.
     *
     * @param method the method of the request
     * @param response the head of the response
     */
    public static BodyFraming of(HttpMethod method, HttpResponse response) {
        HttpResponseStatus status = response.status();
        boolean bodiless = method.equals(HttpMethod.HEAD)
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
        if (bodiless) {
            return NONE;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(response) ? LENGTH : CLOSE_DELIMITED;
    }

    /** Tells whether the message itself states its end. */
    public boolean statesEnd() {
        return this != CLOSE_DELIMITED;
    }

    /** Returns what shows that a response with this framing has ended. */
    public EndEvidence evidence() {
        return evidence;
    }

    /** Returns the framing as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
