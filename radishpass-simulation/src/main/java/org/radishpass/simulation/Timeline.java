package org.radishpass.simulation;

import java.util.PriorityQueue;

/**
 * A virtual clock with scheduled tasks. Tasks run in the order of their times; tasks with the same time run in the
 * order in which they were scheduled.
 */
final class Timeline {
    private static final double MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowMicros;
    private long addedTasks;

    /** Returns the virtual time in whole milliseconds, rounded down, as the clocks of real routers do. */
    long nowMillis() {
        return Math.round(Math.floor(nowMicros / MICROS_PER_MILLI));
    }

    /** Returns the virtual time in milliseconds, with microsecond resolution. */
    double exactNowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    /**
     * Schedules a task.
     *
     * @param millis the delay from the present virtual time, in milliseconds
     * @param action the code to run
     */
    void schedule(double millis, Runnable action) {
        tasks.add(new Task(nowMicros + Math.round(millis * MICROS_PER_MILLI), addedTasks++, action));
    }

    /**
     * Runs all tasks up to a moment and sets the virtual time to that moment.
     *
     * @param untilMillis the virtual time at which to stop, in milliseconds; tasks of that time still run
     */
    void runUntil(double untilMillis) {
        long untilMicros = Math.round(untilMillis * MICROS_PER_MILLI);
        while (!tasks.isEmpty() && tasks.peek().atMicros <= untilMicros) {
            Task next = tasks.remove();
            nowMicros = next.atMicros;
            next.action.run();
        }
        nowMicros = untilMicros;
    }

    private record Task(long atMicros, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
        }
    }
}
