package org.radishpass.runtime.settings;

import java.util.concurrent.CountDownLatch;

/**
 * Lets a program wait for the end of its process, and delays that end until the program has shut down in an orderly
 * way.
 *
 * @since 0.1.0
 */
public final class StopSignal implements AutoCloseable {
    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final CountDownLatch closed = new CountDownLatch(1);

    /** Creates a signal and registers a JVM shutdown hook that triggers it. */
    public StopSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop-signal"));
    }

    /**
     * Waits until the JVM begins to shut down.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void await() throws InterruptedException {
        stopRequested.await();
    }

    /** Lets the shutdown hook return, so that the process can end. */
    @Override
    public void close() {
        closed.countDown();
    }

    private void stop() {
        stopRequested.countDown();
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
