package org.radishpass.runtime.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Checks that a shutdown goes on when a part of it takes too long on a busy machine. */
final class ShutdownTest {
    private static final Duration LIMIT = Duration.ofMillis(20);

    /** Guards against a shutdown that fails because an event loop is busy for longer than the shutdown waits. */
    @Test
    void closesAlthoughAnEventLoopIsBusy() {
        CountDownLatch busy = new CountDownLatch(1);
        HttpRuntime runtime = new HttpRuntime("test", 1, LIMIT);
        runtime.loops().onServer(true).next().execute(() -> awaitUninterruptibly(busy));
        assertDoesNotThrow(runtime::close);
        assertThat(busy.getCount()).isEqualTo(1);
        busy.countDown();
    }

    @Test
    void goesOnWhenNothingEnds() {
        assertDoesNotThrow(() -> Shutdown.await(Mono.never(), "test", LIMIT));
    }

    @Test
    void goesOnAfterAnError() {
        assertDoesNotThrow(() -> Shutdown.await(Mono.error(new IllegalStateException("failed")), "test", LIMIT));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        boolean interrupted = false;
        while (latch.getCount() > 0) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
