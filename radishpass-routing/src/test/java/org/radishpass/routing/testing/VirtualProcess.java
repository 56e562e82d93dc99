package org.radishpass.routing.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/** The tasks of one process in virtual time: it may stand still for a while, and ends with all that it had to do. */
public final class VirtualProcess implements Scheduler {
    private final VirtualScheduler scheduler;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean frozen;
    private boolean ended;

    /**
     * Starts a process.
     *
     * @param scheduler the time
     */
    public VirtualProcess(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Lets it stand still, or go on. */
    public void frozen(boolean now) {
        frozen = now;
        while (!frozen && !held.isEmpty()) {
            held.remove().run();
        }
    }

    /** Tells whether it is running. */
    public boolean running() {
        return !frozen && !ended;
    }

    @Override
    public Disposable schedule(Runnable task) {
        return scheduler.schedule(inside(task));
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        return scheduler.schedule(inside(task), delay, unit);
    }

    @Override
    public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
        return scheduler.schedulePeriodically(inside(task), initialDelay, period, unit);
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
                return worker.schedule(inside(task));
            }

            @Override
            public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
                return worker.schedule(inside(task), delay, unit);
            }

            @Override
            public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
                return worker.schedulePeriodically(inside(task), initialDelay, period, unit);
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
        held.clear();
    }

    @Override
    public boolean isDisposed() {
        return ended;
    }

    private Runnable inside(Runnable task) {
        return () -> {
            if (ended) {
                return;
            }
            if (frozen) {
                held.add(task);
            } else {
                task.run();
            }
        };
    }
}
