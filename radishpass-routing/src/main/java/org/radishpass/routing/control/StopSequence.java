package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.StopDeadlines;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops a router without breaking off a request. The router reports at once that it is not ready, and serves on as long
 * as the load balancer may still send callers. Then it refuses requests that could not end in time, and stops once
 * nothing is in progress.
 *
 * @since 0.2.0
 */
public final class StopSequence {
    private static final Logger LOG = LoggerFactory.getLogger(StopSequence.class);

    /** Milliseconds between checks whether the next step of the stop is due. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final RoutedRouter router;
    private final Duration grace;
    private final AtomicBoolean begun = new AtomicBoolean();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "stop");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a sequence that has not begun.
     *
     * @param router the router to stop
     * @param grace the time from the stop signal until the process is killed
     */
    public StopSequence(RoutedRouter router, Duration grace) {
        this.router = router;
        this.grace = grace;
    }

    /** Begins to stop the router. Later calls change nothing: the grace period runs from the first signal. */
    public void begin() {
        if (begun.getAndSet(true)) {
            return;
        }
        long startMillis = MonotonicClock.SYSTEM.millis();
        router.beginStop(StopDeadlines.of(startMillis, grace));
        var unused = timer.scheduleWithFixedDelay(
                () -> router.traffic().advanceStop(active -> stopped(active, startMillis)),
                CHECK_INTERVAL_MILLIS,
                CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void stopped(int active, long startMillis) {
        LOG.info(
                "the router has stopped",
                LogEvent.STOPPED.field(),
                kv("active", active),
                kv("millis", MonotonicClock.SYSTEM.millis() - startMillis));
        ended.countDown();
    }

    /**
     * Waits until nothing is in progress, or the grace period is nearly over.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void await() throws InterruptedException {
        ended.await();
    }
}
