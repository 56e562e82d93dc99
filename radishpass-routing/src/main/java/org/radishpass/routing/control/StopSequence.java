package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.radishpass.routing.event.LogEvent;
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

    /**
     * Milliseconds for which new requests are still accepted. The load balancer notices within two of its checks, which
     * are a second apart.
     */
    private static final long REFUSE_AFTER_MILLIS = 2_800;

    /** Minimum milliseconds until the process ends, so that late callers still get an answer. */
    private static final long MIN_STOP_MILLIS = 4_200;

    /** Milliseconds between checks whether requests are in progress. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    /**
     * Milliseconds by which the stop ends before the grace period does, because the process must have ended by then.
     */
    private static final long GRACE_MARGIN_MILLIS = 500;

    private final RoutedRouter router;
    private final Duration grace;
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

    /** Begins to stop the router. */
    public void begin() {
        long startedNanos = System.nanoTime();
        router.beginStop();
        var unusedRefusal =
                timer.schedule(() -> router.traffic().refuseNew(), REFUSE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        var unusedCheck = timer.scheduleWithFixedDelay(
                () -> checkIdle(startedNanos), MIN_STOP_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until nothing is in progress, or the grace period is nearly over.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void await() throws InterruptedException {
        ended.await();
    }

    private void checkIdle(long startedNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        router.traffic().stopIfIdle(millis > grace.toMillis() - GRACE_MARGIN_MILLIS, active -> {
            LOG.info("the router has stopped", LogEvent.STOPPED.field(), kv("active", active), kv("millis", millis));
            ended.countDown();
        });
    }
}
