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
 * The thread that owns a process's control state. All that runs here runs one after another.
 *
 * @since 0.1.0
 */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

    private final Scheduler scheduler;
    private final TaskFailures failures = new TaskFailures(LOG);

    /**
     * Starts the thread.
     *
     * @param name its name
     */
    public ControlThread(String name) {
        this(Schedulers.fromExecutorService(executor(name), name));
    }

    /**
     * Takes a scheduler for the thread.
     *
     * @param scheduler runs tasks one after another, in the order of the times at which they are due
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

    /** Returns the thread as a scheduler. */
    public Scheduler scheduler() {
        return scheduler;
    }

    /**
     * Runs a task soon.
     *
     * @param task the task
     */
    public void run(Runnable task) {
        scheduler.schedule(guarded(task));
    }

    /**
     * Computes a value here.
     *
     * @param task computes it
     * @param <T> its type
     */
    public <T> Mono<T> call(Callable<T> task) {
        return Mono.fromCallable(task).subscribeOn(scheduler);
    }

    /**
     * Runs a task again and again.
     *
     * @param period the time from one run's start to the next
     * @param task the task
     */
    public void every(Duration period, Runnable task) {
        long millis = period.toMillis();
        scheduler.schedulePeriodically(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task once, later.
     *
     * @param delay the time until then
     * @param task the task
     */
    public void after(Duration delay, Runnable task) {
        scheduler.schedule(guarded(task), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        scheduler.dispose();
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                failures.failed(e);
            }
        };
    }
}
