package org.radishpass.runtime.settings;

import java.util.concurrent.CountDownLatch;

/**
 * Lets a program wait for the signal to stop and stop in an orderly way.
 *
 * @since 0.1.0
 */
public final class StopSignal implements AutoCloseable {
    private final CountDownLatch asked = new CountDownLatch(1);
    private final CountDownLatch done = new CountDownLatch(1);

    /** Creates a signal that answers to the end of the process. */
    public StopSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop-signal"));
    }

    /**
     * Waits for the signal.
     *
     * @throws InterruptedException if the wait is broken off
     */
    public void await() throws InterruptedException {
        asked.await();
    }

    /** Lets the process end. */
    @Override
    public void close() {
        done.countDown();
    }

    private void stop() {
        asked.countDown();
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
