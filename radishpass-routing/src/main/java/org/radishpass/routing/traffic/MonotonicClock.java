package org.radishpass.routing.traffic;

/**
 * A clock that never jumps. The origin of its time is arbitrary.
 *
 * @since 0.2.0
 */
@FunctionalInterface
public interface MonotonicClock {
    /** The clock of this process. */
    MonotonicClock SYSTEM = new SuspensionAwareClock(
            () -> System.nanoTime() / 1_000_000, System::currentTimeMillis, MachineUptime::millis);

    /** Returns the time in milliseconds. */
    long millis();
}
