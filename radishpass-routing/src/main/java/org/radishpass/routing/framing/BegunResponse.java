package org.radishpass.routing.framing;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/**
 * A response of which the caller has been sent a beginning. Only the rest of the same representation may follow, whoever
 * sends it.
 *
 * @param status the HTTP status code
 * @param mediaType the media type in lower case, without parameters; empty if the head states none
 * @param contentCoding the content coding in lower case; empty if the head states none
 * @since 0.12.0
 */
public record BegunResponse(int status, String mediaType, String contentCoding) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Returns the response that begins with the given head. */
    public static BegunResponse of(HttpResponse head) {
        CharSequence mediaType = HttpUtil.getMimeType(head);
        return new BegunResponse(
                head.status().code(),
                mediaType == null ? "" : mediaType.toString().strip().toLowerCase(Locale.ROOT),
                head.headers().get(HttpHeaderNames.CONTENT_ENCODING, "").strip().toLowerCase(Locale.ROOT));
    }

    /** Tells whether the status is not an error. */
    public boolean successful() {
        return status < FIRST_ERROR_STATUS;
    }

    /**
     * Decides whether the body of a later response continues this one.
     *
     * @param head the head of the later response
     */
    public ContinuationDecision judge(HttpResponse head) {
        BegunResponse later = of(head);
        if (later.status != status) {
            return rejected("status", status, later.status);
        }
        if (!later.mediaType.equals(mediaType)) {
            return rejected("media type", mediaType, later.mediaType);
        }
        if (!later.contentCoding.equals(contentCoding)) {
            return rejected("content coding", contentCoding, later.contentCoding);
        }
        return ContinuationDecision.ACCEPTED;
    }

    private static ContinuationDecision rejected(String property, Object begun, Object later) {
        return new ContinuationDecision.Rejected(
                "a response with " + property + " '" + later + "' does not continue one with '" + begun + "'");
    }
}
