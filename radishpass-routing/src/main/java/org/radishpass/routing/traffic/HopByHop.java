package org.radishpass.routing.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The hop-by-hop headers (RFC 9110, section 7.6.1), which concern a single connection and are not forwarded. */
final class HopByHop {
    private static final List<CharSequence> NAMES = List.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.PROXY_CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.EXPECT);

    private HopByHop() {
        // static methods only
    }

    /**
     * Removes the hop-by-hop headers, and those that the Connection header lists.
     *
     * @param headers the headers, which are modified
     */
    static void strip(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                if (!name.isBlank() && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name.strip())) {
                    headers.remove(name.strip());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
