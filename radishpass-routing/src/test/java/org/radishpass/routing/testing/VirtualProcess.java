package org.radishpass.routing.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Scheduler of one simulated process in virtual time. The process can be frozen; when it ends, its tasks are dropped.
 */
public final class VirtualProcess implements Scheduler {
    private final VirtualScheduler scheduler;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private boolean frozen;
    private boolean ended;

    /**
     * Creates a running process.
     *
     * @param scheduler the scheduler that runs the tasks in virtual time
     */
    public VirtualProcess(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Freezes the process, or resumes it and runs the tasks that were due in the meantime. */
    public void frozen(boolean newFrozen) {
        frozen = newFrozen;
        while (!frozen && !deferred.isEmpty()) {
            deferred.remove().run();
        }
    }

    /** Tells whether the process is neither frozen nor ended. */
    public boolean running() {
        return !frozen && !ended;
    }

    @Override
    public Disposable schedule(Runnable task) {
        return scheduler.schedule(deferIfFrozen(task));
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        return scheduler.schedule(deferIfFrozen(task), delay, unit);
    }

    @Override
    public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
        return scheduler.schedulePeriodically(deferIfFrozen(task), initialDelay, period, unit);
    }

    @Override
    public long now(TimeUnit unit) {
        return scheduler.now(unit);
    }

    @Override
    public Worker createWorker() {
        Worker worker = scheduler.createWorker();
        return new Worker() {
            @Override
            public Disposable schedule(Runnable task) {
                return worker.schedule(deferIfFrozen(task));
            }

            @Override
            public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
                return worker.schedule(deferIfFrozen(task), delay, unit);
            }

            @Override
            public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
                return worker.schedulePeriodically(deferIfFrozen(task), initialDelay, period, unit);
            }

            @Override
            public void dispose() {
                worker.dispose();
            }
        };
    }

    @Override
    public void dispose() {
        ended = true;
        deferred.clear();
    }

    @Override
    public boolean isDisposed() {
        return ended;
    }

    private Runnable deferIfFrozen(Runnable task) {
        return () -> {
            if (ended) {
                return;
            }
            if (frozen) {
                deferred.add(task);
            } else {
                task.run();
            }
        };
    }
}
