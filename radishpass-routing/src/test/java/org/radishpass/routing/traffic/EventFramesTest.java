package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that only whole events are passed on, and none twice. */
final class EventFramesTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

    private final EventFrames frames = new EventFrames();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 16, 17, 18, 19, 100})
    void anyCutOfTheBytesGivesTheSameEvents(int cut) {
        StringBuilder passed = new StringBuilder();
        for (int at = 0; at < STREAM.length(); at += cut) {
            passed.append(take(STREAM.substring(at, Math.min(STREAM.length(), at + cut))));
        }
        assertThat(passed.toString()).isEqualTo(STREAM);
        assertThat(frames.lastId()).isEqualTo("3");
        assertThat(frames.eventsPassed()).isEqualTo(3);
        assertThat(frames.insideEvent()).isFalse();
    }

    @Test
    void aStartedEventWaitsForItsEnd() {
        assertThat(take("id: 1\ndata: one\n\nid: 2\nda")).isEqualTo("id: 1\ndata: one\n\n");
        assertThat(frames.insideEvent()).isTrue();
        assertThat(frames.lastId()).isEqualTo("1");
    }

    @Test
    void aStreamGoesOnElsewhereAfterABreakInTheMiddleOfAnEvent() {
        take("id: 1\ndata: one\n\nid: 2\nda");
        frames.dropPartial();
        assertThat(take("id: 2\ndata: two\n\n")).isEqualTo("id: 2\ndata: two\n\n");
    }

    @Test
    void eventsThatComeAgainAreDropped() {
        take(STREAM);
        assertThat(take("id: 2\ndata: two\n\nid: 4\ndata: four\n\n")).isEqualTo("id: 4\ndata: four\n\n");
    }

    @Test
    void lineEndsOfBothKindsEndAnEvent() {
        assertThat(take("id: 1\r\ndata: one\r\n\r\nid: 2")).isEqualTo("id: 1\r\ndata: one\r\n\r\n");
        assertThat(frames.lastId()).isEqualTo("1");
    }

    @Test
    void anIdNeedNotComeFirst() {
        take("weight-versions: 3\nid: 8\ndata: x\n\n");
        assertThat(frames.lastId()).isEqualTo("8");
    }

    private String take(String bytes) {
        ByteBuf whole =
                frames.take(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII), UnpooledByteBufAllocator.DEFAULT);
        String text = whole.toString(StandardCharsets.US_ASCII);
        whole.release();
        return text;
    }
}
