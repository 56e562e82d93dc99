package org.radishpass.routing.exchange;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which bodies hold another response to the same request, however they are divided. */
final class RepeatedHeadDetectorTest {
    @ParameterizedTest
    @CsvSource({
        "'half a boHTTP/1.1 500 Error|Content-Length: 2|X-Id: 7|', true",
        "'HTTP/1.1 200 OK|X-Id: 7|', true",
        "'HTTP/1.1 200 OK|X-Id: 6|', false",
        "'X-Id: 7|HTTP/1.1 200 OK|', false",
        "'see HTTP/1.1 for the header X-Id: 7|', false",
        "'HTTP/1.1 200 OK|X-Id: 7', false",
        "'', false",
    })
    void theHeadIsFoundInAnyParts(String body, boolean found) {
        byte[] bytes = body.replace("|", "\r\n").getBytes(StandardCharsets.UTF_8);
        for (int size = 1; size <= Math.max(1, bytes.length); size++) {
            RepeatedHeadDetector detector = new RepeatedHeadDetector("7");
            boolean begins = false;
            for (int from = 0; from < bytes.length; from += size) {
                ByteBuf part = Unpooled.wrappedBuffer(bytes, from, Math.min(size, bytes.length - from));
                begins = begins || detector.beginsAgain(part);
            }
            assertWithMessage("parts of %s", size).that(begins).isEqualTo(found);
        }
    }
}
