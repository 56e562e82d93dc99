package org.radishpass.router.internal.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into server-sent events.
 *
 * <p>Buffers the incomplete event at the end of the input, up to {@link #MAX_EVENT_BYTES}. Each stream needs its own
 * instance.
 *
 * @since 0.1.0
 */
public final class SseFramer {
    /** The maximum number of bytes that are buffered for an incomplete event. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final String END_MARKER = "data: [DONE]";
    private static final String ID_PREFIX = "id: ";
    private static final int MAX_ID_DIGITS = 18;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean afterNewline;

    /**
     * Appends bytes of the stream and returns the events that these bytes complete.
     *
     * @param bytes the next bytes of the stream
     * @throws AttemptFailure if the incomplete event is larger than {@link #MAX_EVENT_BYTES}
     */
    public List<SseEvent> accept(byte[] bytes) {
        List<SseEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            if (next == '\r') {
                continue;
            }
            pending.write(next);
            if (next == '\n' && afterNewline) {
                completeEvent(events);
                afterNewline = false;
            } else {
                afterNewline = next == '\n';
            }
        }
        if (pending.size() > MAX_EVENT_BYTES) {
            throw new AttemptFailure(
                    org.radishpass.core.outcome.Verdict.RAN, "an event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    private void completeEvent(List<SseEvent> events) {
        byte[] raw = pending.toByteArray();
        pending.reset();
        if (raw.length > 2) {
            events.add(parseEvent(raw));
        }
    }

    private static SseEvent parseEvent(byte[] raw) {
        long id = -1;
        boolean endMarker = false;
        for (String line : new String(raw, StandardCharsets.UTF_8).split("\n", -1)) {
            if (line.startsWith(ID_PREFIX)) {
                id = parseId(line.substring(ID_PREFIX.length()).trim());
            }
            endMarker |= line.equals(END_MARKER);
        }
        return new SseEvent(raw, id, endMarker);
    }

    private static long parseId(String digits) {
        boolean valid = !digits.isEmpty()
                && digits.length() <= MAX_ID_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return valid ? Long.parseLong(digits) : -1;
    }
}
