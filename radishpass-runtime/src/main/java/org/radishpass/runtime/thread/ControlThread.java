package org.radishpass.runtime.thread;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The thread that owns the control state of a process. Its tasks run one at a time.
 *
 * @since 0.1.0
 */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

    private final Scheduler scheduler;
    private final TaskFailures failures = new TaskFailures(LOG);

    /**
     * Creates a control thread, a daemon thread that starts with its first task.
     *
     * @param name the name of the thread
     */
    public ControlThread(String name) {
        this(Schedulers.fromExecutorService(executor(name), name));
    }

    /**
     * Creates a control thread on an existing scheduler.
     *
     * @param scheduler the scheduler; must run tasks one at a time, in the order of their due times
     */
    public ControlThread(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    private static ScheduledExecutorService executor(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the scheduler that runs tasks on this thread. */
    public Scheduler scheduler() {
        return scheduler;
    }

    /**
     * Runs a task as soon as possible. A task that throws is logged.
     *
     * @param task the task
     */
    public void run(Runnable task) {
        scheduler.schedule(loggingFailures(task));
    }

    /**
     * Computes a value on this thread, once for each subscription. An exception of the task fails the result.
     *
     * @param task computes the value
     * @param <T> the type of the value
     */
    public <T> Mono<T> call(Callable<T> task) {
        return Mono.fromCallable(task).subscribeOn(scheduler);
    }

    /**
     * Runs a task periodically. The first run is after one period. A run that throws is logged, and the next one
     * follows as planned.
     *
     * @param period the time between the starts of two runs
     * @param task the task
     */
    public void schedulePeriodically(Duration period, Runnable task) {
        long millis = period.toMillis();
        scheduler.schedulePeriodically(loggingFailures(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task once after a delay. A task that throws is logged.
     *
     * @param delay the delay
     * @param task the task
     */
    public void scheduleAfter(Duration delay, Runnable task) {
        scheduler.schedule(loggingFailures(task), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        scheduler.dispose();
    }

    private Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // the process goes on after an error, so its other tasks have to, and the log must not be flooded
                failures.recordFailure(e);
            }
        };
    }
}
