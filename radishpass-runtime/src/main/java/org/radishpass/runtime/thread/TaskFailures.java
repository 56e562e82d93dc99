package org.radishpass.runtime.thread;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/**
 * Logs failures of tasks at a limited rate, because a periodic task may fail many times a second. Of equal failures,
 * the first, second, fourth, eighth and so on are logged with their number. Not thread-safe; belongs to the thread that
 * runs the tasks.
 */
final class TaskFailures {
    /** The number of distinct failures that are counted. When it is reached, all counts are reset. */
    private static final int MAX_DISTINCT_FAILURES = 100;

    private final Logger log;
    private final Map<String, Long> counts = new HashMap<>();

    TaskFailures(Logger log) {
        this.log = log;
    }

    /**
     * Counts a failure of a task, and logs the failure if its number is a power of two.
     *
     * @param failure what the task threw
     * @return whether the failure was logged
     */
    boolean recordFailure(Throwable failure) {
        if (counts.size() >= MAX_DISTINCT_FAILURES) {
            counts.clear();
        }
        long count = counts.merge(failure.toString(), 1L, Long::sum);
        boolean logged = Long.bitCount(count) == 1;
        if (logged) {
            log.error("a control task failed; occurrence {} of this failure", count, failure);
        }
        return logged;
    }
}
