package org.radishpass.runtime.thread;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;

/** Checks that a task that fails again and again does not flood the log. */
final class TaskFailuresTest {
    private final TaskFailures failures = new TaskFailures(NOPLogger.NOP_LOGGER);

    /** Guards against a log of 40 MB from one periodic task that fails a hundred times a second. */
    @Test
    void equalFailuresAreLoggedLessAndLessOften() {
        long logged = IntStream.range(0, 1_000)
                .filter(time -> failures.failed(new IllegalStateException("ended")))
                .count();
        assertThat(logged).isEqualTo(10);
    }

    @Test
    void anotherFailureIsLoggedAtOnce() {
        assertThat(failures.failed(new IllegalStateException("one"))).isTrue();
        assertThat(failures.failed(new IllegalStateException("two"))).isTrue();
        assertThat(failures.failed(new IllegalArgumentException("one"))).isTrue();
    }
}
