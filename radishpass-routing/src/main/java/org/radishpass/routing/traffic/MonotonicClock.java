package org.radishpass.routing.traffic;

/**
 * A clock that never jumps; its zero has no meaning.
 *
 * @since 0.2.0
 */
@FunctionalInterface
public interface MonotonicClock {
    /** The clock of this process. */
    MonotonicClock SYSTEM =
            new SuspensionAwareClock(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis, BootTime::millis);

    /** Returns the time in milliseconds. */
    long millis();
}
