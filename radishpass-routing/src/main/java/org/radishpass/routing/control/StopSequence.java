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
 * Stops a router without cutting a request: it reports itself not ready at once, serves on while the balancer still sends
 * callers, then refuses what could not end in time, and ends once nothing is in progress.
 *
 * @since 0.2.0
 */
public final class StopSequence {
    private static final Logger LOG = LoggerFactory.getLogger(StopSequence.class);

    /** Milliseconds for which everything is still taken: the balancer notices within two of its checks, a second apart. */
    private static final long SERVE_ON_MILLIS = 2_800;

    /** Milliseconds before which the process does not end, so that late callers find it. */
    private static final long LEAST_MILLIS = 4_200;

    /** Milliseconds between looks at what is in progress. */
    private static final long LOOK_MILLIS = 100;

    /** Milliseconds of the grace period that are left unused: the process must have ended by its end. */
    private static final long MARGIN_MILLIS = 500;

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
     * @param router the router
     * @param grace the time from the signal until the process is killed
     */
    public StopSequence(RoutedRouter router, Duration grace) {
        this.router = router;
        this.grace = grace;
    }

    /** Begins to stop. */
    public void begin() {
        long startedNanos = System.nanoTime();
        router.beginStop();
        var unusedRefusal = timer.schedule(() -> router.traffic().refuseNew(), SERVE_ON_MILLIS, TimeUnit.MILLISECONDS);
        var unusedLook = timer.scheduleWithFixedDelay(
                () -> look(startedNanos), LEAST_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until nothing is in progress, or the grace period is nearly over.
     *
     * @throws InterruptedException if the wait is broken off
     */
    public void await() throws InterruptedException {
        ended.await();
    }

    private void look(long startedNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        router.traffic().endIfIdle(millis > grace.toMillis() - MARGIN_MILLIS, active -> {
            LOG.info("the router has stopped", LogEvent.STOPPED.field(), kv("active", active), kv("millis", millis));
            ended.countDown();
        });
    }
}
