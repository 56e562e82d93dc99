package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

/** Bodies and headers of the responses that the router itself creates. */
final class Refusals {
    private static final long MILLIS_PER_HUNDREDTH = 10;
    private static final long HUNDREDTHS_PER_SECOND = 100;

    private Refusals() {
        // static methods only
    }

    /** Returns a JSON body for a refusal. The detail must not contain characters that JSON requires to be escaped. */
    static ByteBuf body(ByteBufAllocator allocator, int status, String detail) {
        return ByteBufUtil.writeUtf8(allocator, "{\"status\":" + status + ",\"detail\":\"" + detail + "\"}");
    }

    /** Formats the value of a Retry-After header in seconds, with two decimal places. */
    static String seconds(long millis) {
        long hundredths = (millis + MILLIS_PER_HUNDREDTH / 2) / MILLIS_PER_HUNDREDTH;
        long fraction = hundredths % HUNDREDTHS_PER_SECOND;
        return hundredths / HUNDREDTHS_PER_SECOND + (fraction < 10 ? ".0" : ".") + fraction;
    }
}
