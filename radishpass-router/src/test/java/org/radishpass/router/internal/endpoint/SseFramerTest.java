package org.radishpass.router.internal.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that events are parsed completely, however the stream's bytes are split. */
final class SseFramerTest {
    private static final String STREAM = "id: 0\ndata: {\"a\":1}\n\nid: 1\r\ndata: é\r\n\r\n: note\n\ndata: [DONE]\n\n";

    @Property(tries = 200, seed = "53")
    void eventsDoNotDependOnHowBytesAreSplit(@ForAll @IntRange(min = 1, max = 9) int step) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        SseFramer framer = new SseFramer();
        List<SseEvent> events = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += step) {
            int length = Math.min(step, bytes.length - at);
            byte[] part = new byte[length];
            System.arraycopy(bytes, at, part, 0, length);
            events.addAll(framer.accept(part));
        }

        assertThat(events.stream().map(SseEvent::id).toList())
                .containsExactly(0L, 1L, -1L, -1L)
                .inOrder();
        assertThat(events.stream().map(SseEvent::endMarker).toList())
                .containsExactly(false, false, false, true)
                .inOrder();
        assertThat(text(events)).isEqualTo(STREAM.replace("\r", ""));
    }

    @Property(tries = 500, seed = "54")
    void arbitraryBytesDoNotThrow(@ForAll byte[] bytes) {
        SseFramer framer = new SseFramer();

        assertThat(framer.accept(bytes)).isNotNull();
    }

    @Test
    void unterminatedEventFailsAboveSizeLimit() {
        SseFramer framer = new SseFramer();
        byte[] part = new byte[SseFramer.MAX_EVENT_BYTES];
        java.util.Arrays.fill(part, (byte) 'x');
        framer.accept(part);

        org.junit.jupiter.api.Assertions.assertThrows(AttemptFailure.class, () -> framer.accept(new byte[] {'x'}));
    }

    private static String text(List<SseEvent> events) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        events.forEach(event -> all.writeBytes(event.raw()));
        return all.toString(StandardCharsets.UTF_8);
    }
}
