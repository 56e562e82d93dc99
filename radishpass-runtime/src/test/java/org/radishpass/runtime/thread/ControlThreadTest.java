package org.radishpass.runtime.thread;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that a task which fails ends neither its repetition nor the tasks that follow, whatever it throws. */
final class ControlThreadTest {
    private static final long PATIENCE_SECONDS = 20;

    private final ControlThread thread = new ControlThread("control");

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("failed"),
                new StackOverflowError(),
                new OutOfMemoryError("Java heap space"),
                new AssertionError("failed"),
                new ExceptionInInitializerError("failed"),
                new NoClassDefFoundError("failed"));
    }

    @AfterEach
    void close() {
        thread.close();
    }

    /** Guards against a periodic task that ends for good with the first failure. */
    @ParameterizedTest
    @MethodSource("failures")
    void aPeriodicTaskGoesOnAfterAnyFailure(Throwable failure) throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        thread.schedulePeriodically(Duration.ofMillis(5), () -> {
            runs.countDown();
            throw ControlThreadTest.<RuntimeException>unchecked(failure);
        });
        assertThat(runs.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against errors that are logged at each occurrence, since they pass the limit of the log. */
    @ParameterizedTest
    @MethodSource("failures")
    void laterTasksRunAndNoFailureLeavesTheThread(Throwable failure) throws Exception {
        AtomicInteger uncaught = new AtomicInteger();
        CountDownLatch ran = new CountDownLatch(2);
        thread.run(
                () -> Thread.currentThread().setUncaughtExceptionHandler((any, error) -> uncaught.incrementAndGet()));
        thread.run(() -> {
            throw ControlThreadTest.<RuntimeException>unchecked(failure);
        });
        thread.scheduleAfter(Duration.ofMillis(1), () -> {
            ran.countDown();
            throw ControlThreadTest.<RuntimeException>unchecked(failure);
        });
        thread.scheduleAfter(Duration.ofMillis(5), ran::countDown);
        assertThat(ran.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(uncaught.get()).isEqualTo(0);
    }

    @SuppressWarnings({"unchecked", "TypeParameterUnusedInFormals"})
    private static <E extends Throwable> E unchecked(Throwable failure) throws E {
        throw (E) failure;
    }
}
