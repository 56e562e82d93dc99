package org.radishpass.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The engine's feed of cache events: late, and with gaps.
 *
 * @since 0.1.0
 */
final class CacheEvents {
    private static final int KEPT = 10_000;
    private static final double GAPS = 0.02;
    private static final long LAG_NANOS = 1_000_000_000L;

    private final Deque<Event> events = new ArrayDeque<>();
    private final Random random;
    private long lastSequence;

    CacheEvents(long seed) {
        this.random = new Random(seed);
    }

    void added(long block) {
        note("added", block);
    }

    void removed(long block) {
        note("removed", block);
    }

    synchronized List<Map<String, Object>> after(long sequence, long nowNanos) {
        return events.stream()
                .filter(event -> event.sequence() > sequence && nowNanos - event.atNanos() >= LAG_NANOS)
                .map(event -> Map.<String, Object>of(
                        "sequence", event.sequence(), "type", event.type(), "block", event.block()))
                .toList();
    }

    private synchronized void note(String type, long block) {
        lastSequence++;
        if (random.nextDouble() < GAPS) {
            return;
        }
        events.addLast(new Event(lastSequence, type, block, System.nanoTime()));
        if (events.size() > KEPT) {
            events.removeFirst();
        }
    }

    private record Event(long sequence, String type, long block, long atNanos) {}
}
