package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.radishpass.routing.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A monotonic clock that counts the time in which the machine was suspended. The steady clock of a process does not: after a suspension
 * lists, permissions and news would look seconds younger than they are, and deadlines seconds further away.
 *
 * <p>The time of day jumps ahead by a suspension, but also when somebody sets it. Which of the two it was is told by the time since the
 * machine was booted, which counts suspensions and nothing else; it is asked only after a jump, since it costs a hundred times as much.
 * Any thread may ask.
 *
 * @since 0.6.0
 */
public final class SuspensionAwareClock implements MonotonicClock {
    /** Milliseconds by which the time of day must jump to be looked into: far above what time services correct at a time. */
    private static final long JUMP_MILLIS = 50;

    /** Milliseconds up to which the boot time may differ without a suspension: it is told in steps of 10 ms. */
    private static final long COARSE_MILLIS = 30;

    private static final Logger LOG = LoggerFactory.getLogger(SuspensionAwareClock.class);

    private final LongSupplier steadyMillis;
    private final LongSupplier timeOfDayMillis;
    private final Supplier<OptionalLong> bootTimeMillis;
    private volatile long timeOfDayAhead;
    private volatile long suspendedMillis;
    private OptionalLong bootTimeAhead;

    /**
     * Creates a clock.
     *
     * @param steadyMillis the process's steady clock, in milliseconds
     * @param timeOfDayMillis the time of day, in milliseconds
     * @param bootTimeMillis the time since the machine was booted, in milliseconds; empty where it cannot be read
     */
    public SuspensionAwareClock(
            LongSupplier steadyMillis, LongSupplier timeOfDayMillis, Supplier<OptionalLong> bootTimeMillis) {
        this.steadyMillis = steadyMillis;
        this.timeOfDayMillis = timeOfDayMillis;
        this.bootTimeMillis = bootTimeMillis;
        long steady = steadyMillis.getAsLong();
        this.timeOfDayAhead = timeOfDayMillis.getAsLong() - steady;
        this.bootTimeAhead = bootTimeAhead();
    }

    @Override
    public long millis() {
        long steady = steadyMillis.getAsLong();
        if (jumped(timeOfDayMillis.getAsLong() - steady)) {
            countSuspension();
        }
        return steady + suspendedMillis;
    }

    private boolean jumped(long ahead) {
        return Math.abs(ahead - timeOfDayAhead) > JUMP_MILLIS;
    }

    private synchronized void countSuspension() {
        long steady = steadyMillis.getAsLong();
        long ahead = timeOfDayMillis.getAsLong() - steady;
        long jumpMillis = ahead - timeOfDayAhead;
        timeOfDayAhead = ahead;
        OptionalLong bootAhead = bootTimeAhead();
        long lostMillis = bootAhead.isPresent() && bootTimeAhead.isPresent()
                ? bootAhead.getAsLong() - bootTimeAhead.getAsLong()
                : 0;
        bootTimeAhead = bootAhead;
        boolean suspended = lostMillis > COARSE_MILLIS && Math.abs(lostMillis - jumpMillis) <= JUMP_MILLIS;
        if (suspended) {
            suspendedMillis += lostMillis;
            LOG.warn(
                    "the machine was suspended for {} ms; all ages count them",
                    lostMillis,
                    LogEvent.SUSPENDED.field(),
                    kv("millis", lostMillis));
        } else {
            LOG.info("the time of day was set by {} ms; nothing counts it", jumpMillis);
        }
    }

    private OptionalLong bootTimeAhead() {
        OptionalLong boot = bootTimeMillis.get();
        return boot.isPresent() ? OptionalLong.of(boot.getAsLong() - steadyMillis.getAsLong()) : boot;
    }
}
