package org.radishpass.runtime.thread;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;

/** Checks that a task that fails repeatedly does not flood the log. */
final class TaskFailuresTest {
    private final TaskFailures failures = new TaskFailures(NOPLogger.NOP_LOGGER);

    /** Guards against a flooded log: a periodic task that failed a hundred times a second wrote 40 MB. */
    @Test
    void equalFailuresAreLoggedAtPowersOfTwo() {
        long logged = IntStream.range(0, 1_000)
                .filter(time -> failures.recordFailure(new IllegalStateException("ended")))
                .count();
        assertThat(logged).isEqualTo(10);
    }

    @Test
    void aDifferentFailureIsLoggedAtOnce() {
        assertThat(failures.recordFailure(new IllegalStateException("one"))).isTrue();
        assertThat(failures.recordFailure(new IllegalStateException("two"))).isTrue();
        assertThat(failures.recordFailure(new IllegalArgumentException("one"))).isTrue();
    }
}
