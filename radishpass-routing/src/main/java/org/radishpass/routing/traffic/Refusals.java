package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.util.Locale;

/** Bodies and headers of the responses that the router itself creates. */
final class Refusals {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private Refusals() {
        // static methods only
    }

    /** Returns a JSON body for a refusal. The detail must not contain characters that JSON requires to be escaped. */
    static ByteBuf body(ByteBufAllocator allocator, int status, String detail) {
        return ByteBufUtil.writeUtf8(allocator, "{\"status\":" + status + ",\"detail\":\"" + detail + "\"}");
    }

    /** Formats the value of a Retry-After header in seconds, with two decimal places. */
    static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND);
    }
}
