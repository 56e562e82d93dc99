package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.radishpass.routing.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A monotonic clock that includes the time in which the machine was suspended. The steady clock of a process does not
 * include it: after a suspension, endpoint lists, permissions and messages would appear seconds younger than they are,
 * and deadlines seconds further away.
 *
 * <p>The wall clock jumps forward by a suspension, but also when it is set. The uptime of the machine distinguishes the
 * two cases, since it includes suspensions and ignores changes of the wall clock. The uptime is read only after a jump
 * of the wall clock, because reading it takes a hundred times as long. Thread-safe.
 *
 * @since 0.6.0
 */
public final class SuspensionAwareClock implements MonotonicClock {
    /**
     * Smallest jump of the wall clock in milliseconds that is examined; far above the corrections of time
     * synchronization.
     */
    private static final long MIN_JUMP_MILLIS = 50;

    /** Milliseconds by which the uptime may deviate without a suspension; its resolution is 10 ms. */
    private static final long UPTIME_TOLERANCE_MILLIS = 30;

    private static final Logger LOG = LoggerFactory.getLogger(SuspensionAwareClock.class);

    private final LongSupplier steadyMillis;
    private final LongSupplier wallClockMillis;
    private final Supplier<OptionalLong> uptimeMillis;
    private volatile long wallClockOffsetMillis;
    private volatile long suspendedMillis;
    private OptionalLong uptimeOffsetMillis;

    /**
     * Creates a clock.
     *
     * @param steadyMillis the steady clock of the process, in milliseconds
     * @param wallClockMillis the wall clock, in milliseconds
     * @param uptimeMillis the time since the machine was booted, in milliseconds; empty where it cannot be read
     */
    public SuspensionAwareClock(
            LongSupplier steadyMillis, LongSupplier wallClockMillis, Supplier<OptionalLong> uptimeMillis) {
        this.steadyMillis = steadyMillis;
        this.wallClockMillis = wallClockMillis;
        this.uptimeMillis = uptimeMillis;
        long steady = steadyMillis.getAsLong();
        this.wallClockOffsetMillis = wallClockMillis.getAsLong() - steady;
        this.uptimeOffsetMillis = uptimeOffsetMillis();
    }

    @Override
    public long millis() {
        long steady = steadyMillis.getAsLong();
        if (jumped(wallClockMillis.getAsLong() - steady)) {
            handleJump();
        }
        return steady + suspendedMillis;
    }

    private boolean jumped(long offsetMillis) {
        return Math.abs(offsetMillis - wallClockOffsetMillis) > MIN_JUMP_MILLIS;
    }

    private synchronized void handleJump() {
        long steady = steadyMillis.getAsLong();
        long offsetMillis = wallClockMillis.getAsLong() - steady;
        long jumpMillis = offsetMillis - wallClockOffsetMillis;
        wallClockOffsetMillis = offsetMillis;
        OptionalLong newUptimeOffsetMillis = uptimeOffsetMillis();
        long addedMillis = newUptimeOffsetMillis.isPresent() && uptimeOffsetMillis.isPresent()
                ? newUptimeOffsetMillis.getAsLong() - uptimeOffsetMillis.getAsLong()
                : 0;
        uptimeOffsetMillis = newUptimeOffsetMillis;
        boolean suspended =
                addedMillis > UPTIME_TOLERANCE_MILLIS && Math.abs(addedMillis - jumpMillis) <= MIN_JUMP_MILLIS;
        if (suspended) {
            suspendedMillis += addedMillis;
            LOG.warn(
                    "the machine was suspended for {} ms; the clock includes this time",
                    addedMillis,
                    LogEvent.SUSPENDED.field(),
                    kv("millis", addedMillis));
        } else {
            LOG.info("the wall clock was changed by {} ms; the monotonic clock ignores the change", jumpMillis);
        }
    }

    private OptionalLong uptimeOffsetMillis() {
        OptionalLong uptime = uptimeMillis.get();
        return uptime.isPresent() ? OptionalLong.of(uptime.getAsLong() - steadyMillis.getAsLong()) : uptime;
    }
}
