package org.radishpass.router.internal.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of bytes into server-sent events.
 *
 * <p>Keeps what has not ended yet, up to a bound. One object serves one stream.
 *
 * @since 0.1.0
 */
public final class SseFramer {
    /** The most bytes that an event may have. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final String DONE = "data: [DONE]";
    private static final String ID = "id: ";
    private static final int MAX_ID_DIGITS = 18;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean afterNewline;

    /**
     * Takes bytes and returns the events that they complete.
     *
     * @param bytes the bytes
     * @throws AttemptFailure if an event grows over the bound
     */
    public List<SseEvent> accept(byte[] bytes) {
        List<SseEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            if (next == '\r') {
                continue;
            }
            pending.write(next);
            if (next == '\n' && afterNewline) {
                finish(events);
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

    private void finish(List<SseEvent> events) {
        byte[] raw = pending.toByteArray();
        pending.reset();
        if (raw.length > 2) {
            events.add(event(raw));
        }
    }

    private static SseEvent event(byte[] raw) {
        long id = -1;
        boolean last = false;
        for (String line : new String(raw, StandardCharsets.UTF_8).split("\n", -1)) {
            if (line.startsWith(ID)) {
                id = number(line.substring(ID.length()).trim());
            }
            last |= line.equals(DONE);
        }
        return new SseEvent(raw, id, last);
    }

    private static long number(String digits) {
        boolean plain = !digits.isEmpty()
                && digits.length() <= MAX_ID_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return plain ? Long.parseLong(digits) : -1;
    }
}
