package org.radishpass.routing.control;

import java.time.Duration;

/**
 * The turn of this router in writing what any router of the fleet may write. A router that has to wait reads before it writes,
 * since another one has most likely written by then. Not thread-safe.
 */
final class WriteTurn {
    private static final long NONE = Long.MAX_VALUE;

    private long dueAtMillis = NONE;
    private boolean readsFirst;

    /** Tells whether a turn has begun. */
    boolean awaited() {
        return dueAtMillis != NONE;
    }

    /** Begins to wait for the turn. */
    void begin(long nowMillis, Duration delay) {
        dueAtMillis = nowMillis + delay.toMillis();
        readsFirst = !delay.isZero();
    }

    /** Ends the turn, because there is nothing to write. */
    void end() {
        dueAtMillis = NONE;
    }

    /** Tells whether it is this router's turn. */
    boolean due(long nowMillis) {
        return nowMillis >= dueAtMillis;
    }

    /** Tells once whether this router has to read before it writes. */
    boolean readsFirst() {
        boolean first = readsFirst;
        readsFirst = false;
        return first;
    }
}
