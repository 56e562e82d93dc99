package org.radishpass.router.internal.traffic;

import java.util.function.IntSupplier;

/** Carries out the steps of a stop, and waits for the requests in progress. Confined to the thread that stops the router. */
final class StopProcedure {
    private static final long POLL_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Milliseconds in which the router refuses requests before it closes connections. A caller whose connection was accepted
     * last sends its request within that time.
     */
    private static final long CLOSE_MILLIS = 200;

    /** Maximum milliseconds until the responses of requests that were ended have been written. */
    private static final long FLUSH_MILLIS = 2_000;

    private final GracefulStop gracefulStop;
    private final IntSupplier inProgress;

    /**
     * Creates a procedure of which no step has been carried out.
     *
     * @param gracefulStop decides which requests are taken
     * @param inProgress the number of requests in progress
     */
    StopProcedure(GracefulStop gracefulStop, IntSupplier inProgress) {
        this.gracefulStop = gracefulStop;
        this.inProgress = inProgress;
    }

    /**
     * Waits for the requests in progress, and ends those that are left at the end.
     *
     * @param deadlines when the steps are due
     * @return the number of requests that had to be ended
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    int run(StopDeadlines deadlines) throws InterruptedException {
        gracefulStop.begin(deadlines);
        Thread.sleep(Math.max(0, (deadlines.drainedAtNanos() - System.nanoTime()) / NANOS_PER_MILLI));
        awaitIdle(deadlines.endAtNanos());
        gracefulStop.close();
        awaitIdle(deadlines.endAtNanos()); // a request may have been taken since the last look
        Thread.sleep(CLOSE_MILLIS);
        int endedRequests = inProgress.getAsInt();
        gracefulStop.end();
        awaitIdle(System.nanoTime() + FLUSH_MILLIS * NANOS_PER_MILLI);
        return endedRequests;
    }

    private void awaitIdle(long untilNanos) throws InterruptedException {
        while (inProgress.getAsInt() > 0 && System.nanoTime() - untilNanos < 0) {
            Thread.sleep(POLL_MILLIS);
        }
    }
}
