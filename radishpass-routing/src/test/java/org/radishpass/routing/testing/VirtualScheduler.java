package org.radishpass.routing.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/** Scheduler in virtual time: runs tasks in the order of their due times, on a clock that only the test advances. */
public final class VirtualScheduler implements Scheduler {
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
            Comparator.<Task>comparingLong(task -> task.dueNanos).thenComparingLong(task -> task.number));
    private long nowNanos;
    private long lastNumber;

    /** Returns the virtual time in milliseconds. */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    /** Returns the virtual time in nanoseconds. */
    public long nanos() {
        return nowNanos;
    }

    /** Advances the virtual time, and runs the tasks that become due. */
    public void advance(Duration time) {
        long endNanos = nowNanos + time.toNanos();
        Task next = tasks.peek();
        while (next != null && next.dueNanos <= endNanos) {
            tasks.remove();
            nowNanos = Math.max(nowNanos, next.dueNanos);
            next.run();
            next = tasks.peek();
        }
        nowNanos = endNanos;
    }

    @Override
    public Disposable schedule(Runnable task) {
        return schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        return add(task, unit.toNanos(delay), 0);
    }

    @Override
    public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
        return add(task, unit.toNanos(initialDelay), unit.toNanos(period));
    }

    @Override
    public long now(TimeUnit unit) {
        return unit.convert(nowNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public Worker createWorker() {
        return new VirtualWorker();
    }

    private Disposable add(Runnable task, long delayNanos, long periodNanos) {
        Task added = new Task(task, nowNanos + Math.max(0, delayNanos), periodNanos);
        tasks.add(added);
        return added;
    }

    /** A task that is due once, or periodically. */
    private final class Task implements Disposable {
        private final Runnable task;
        private final long periodNanos;
        private long number = ++lastNumber;
        private long dueNanos;
        private boolean disposed;

        private Task(Runnable task, long dueNanos, long periodNanos) {
            this.task = task;
            this.dueNanos = dueNanos;
            this.periodNanos = periodNanos;
        }

        private void run() {
            if (disposed) {
                return;
            }
            if (periodNanos > 0) {
                dueNanos += periodNanos;
                number = ++lastNumber;
                tasks.add(this);
            }
            task.run();
        }

        @Override
        public void dispose() {
            disposed = true;
        }

        @Override
        public boolean isDisposed() {
            return disposed;
        }
    }

    /** A worker whose tasks are disposed together. */
    private final class VirtualWorker implements Worker {
        private final Disposable.Composite own = Disposables.composite();

        @Override
        public Disposable schedule(Runnable task) {
            return schedule(task, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
            return addOwn(VirtualScheduler.this.schedule(task, delay, unit));
        }

        @Override
        public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
            return addOwn(VirtualScheduler.this.schedulePeriodically(task, initialDelay, period, unit));
        }

        private Disposable addOwn(@Nullable Disposable task) {
            Disposable added = java.util.Objects.requireNonNull(task);
            own.add(added);
            return added;
        }

        @Override
        public void dispose() {
            own.dispose();
        }

        @Override
        public boolean isDisposed() {
            return own.isDisposed();
        }
    }
}
