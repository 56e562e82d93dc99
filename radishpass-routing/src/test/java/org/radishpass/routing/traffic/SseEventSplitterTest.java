package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that only complete events are forwarded, and none of them twice. */
final class SseEventSplitterTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

    private final SseEventSplitter splitter = new SseEventSplitter();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 16, 17, 18, 19, 100})
    void forwardsTheSameEventsForAnySplitOfTheBytes(int partLength) {
        StringBuilder forwarded = new StringBuilder();
        for (int at = 0; at < STREAM.length(); at += partLength) {
            forwarded.append(append(STREAM.substring(at, Math.min(STREAM.length(), at + partLength))));
        }
        assertThat(forwarded.toString()).isEqualTo(STREAM);
        assertThat(splitter.lastId()).isEqualTo("3");
        assertThat(splitter.forwardedEvents()).isEqualTo(3);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void retainsAnIncompleteEvent() {
        assertThat(append("id: 1\ndata: one\n\nid: 2\nda")).isEqualTo("id: 1\ndata: one\n\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
        assertThat(splitter.lastId()).isEqualTo("1");
    }

    @Test
    void resumesAfterAFailureInTheMiddleOfAnEvent() {
        append("id: 1\ndata: one\n\nid: 2\nda");
        splitter.discardPartial();
        assertThat(append("id: 2\ndata: two\n\n")).isEqualTo("id: 2\ndata: two\n\n");
    }

    @Test
    void dropsRepeatedEvents() {
        append(STREAM);
        assertThat(append("id: 2\ndata: two\n\nid: 4\ndata: four\n\n")).isEqualTo("id: 4\ndata: four\n\n");
    }

    @Test
    void acceptsCarriageReturnLineFeed() {
        assertThat(append("id: 1\r\ndata: one\r\n\r\nid: 2")).isEqualTo("id: 1\r\ndata: one\r\n\r\n");
        assertThat(splitter.lastId()).isEqualTo("1");
    }

    @Test
    void findsAnIdThatIsNotTheFirstField() {
        append("weight-versions: 3\nid: 8\ndata: x\n\n");
        assertThat(splitter.lastId()).isEqualTo("8");
    }

    private String append(String bytes) {
        ByteBuf completeEvents = splitter.append(
                Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII), UnpooledByteBufAllocator.DEFAULT);
        String text = completeEvents.toString(StandardCharsets.US_ASCII);
        completeEvents.release();
        return text;
    }
}
