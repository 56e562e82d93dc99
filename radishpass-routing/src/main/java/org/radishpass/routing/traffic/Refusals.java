package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.util.Locale;

/** Bodies and headers of the router's own answers. */
final class Refusals {
    private static final double MILLIS = 1_000.0;

    private Refusals() {
        // static methods only
    }

    /** Returns a short account for people; the detail must need no escape in JSON. */
    static ByteBuf body(ByteBufAllocator allocator, int status, String detail) {
        return ByteBufUtil.writeUtf8(allocator, "{\"status\":" + status + ",\"detail\":\"" + detail + "\"}");
    }

    /** Returns the seconds of a Retry-After header, with fractions. */
    static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.2f", millis / MILLIS);
    }
}
