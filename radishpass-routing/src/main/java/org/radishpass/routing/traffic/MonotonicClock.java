package org.radishpass.routing.traffic;

/**
 * A clock that never jumps; its zero has no meaning.
 *
 * @since 0.2.0
 */
@FunctionalInterface
public interface MonotonicClock {
    /** The clock of this process. */
    MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

    /** Returns the time in milliseconds. */
    long millis();
}
