package org.radishpass.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * An engine's feed of cache events. Events are published with a delay, and some are dropped so that gaps arise.
 *
 * @since 0.1.0
 */
final class CacheEvents {
    private static final int MAX_RETAINED_EVENTS = 10_000;
    private static final double DROP_PROBABILITY = 0.02;
    private static final long PUBLISH_DELAY_NANOS = 1_000_000_000L;

    private final Deque<Event> events = new ArrayDeque<>();
    private final Random random;
    private long lastSequence;

    CacheEvents(long seed) {
        this.random = new Random(seed);
    }

    void blockAdded(long block) {
        append("added", block);
    }

    void blockRemoved(long block) {
        append("removed", block);
    }

    synchronized List<Map<String, Object>> eventsAfter(long sequence, long nowNanos) {
        return events.stream()
                .filter(event -> event.sequence() > sequence && nowNanos - event.atNanos() >= PUBLISH_DELAY_NANOS)
                .map(event -> Map.<String, Object>of(
                        "sequence", event.sequence(), "type", event.type(), "block", event.block()))
                .toList();
    }

    private synchronized void append(String type, long block) {
        lastSequence++;
        if (random.nextDouble() < DROP_PROBABILITY) {
            return;
        }
        events.addLast(new Event(lastSequence, type, block, System.nanoTime()));
        if (events.size() > MAX_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }

    private record Event(long sequence, String type, long block, long atNanos) {}
}
