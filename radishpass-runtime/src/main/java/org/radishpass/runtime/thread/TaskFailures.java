package org.radishpass.runtime.thread;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/**
 * Logs tasks that fail. A periodic task that fails does so many times a second: of equal failures the first, second, fourth, eighth and so on
 * are logged, with their number. Belongs to the thread that runs the tasks.
 */
final class TaskFailures {
    /** Different failures that are counted; beyond that all are counted anew. */
    private static final int MOST_KNOWN = 100;

    private final Logger log;
    private final Map<String, Long> counts = new HashMap<>();

    TaskFailures(Logger log) {
        this.log = log;
    }

    /**
     * Notes that a task failed.
     *
     * @param failure what it threw
     * @return whether that was logged
     */
    boolean failed(RuntimeException failure) {
        if (counts.size() >= MOST_KNOWN) {
            counts.clear();
        }
        long count = counts.merge(failure.toString(), 1L, Long::sum);
        boolean logged = Long.bitCount(count) == 1;
        if (logged) {
            log.error("a control task failed, for the {}. time in the same way", count, failure);
        }
        return logged;
    }
}
