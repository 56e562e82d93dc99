package org.radishpass.standin.engine;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The places of an engine's batch, and the queue before them in order of priority.
 *
 * @since 0.1.0
 */
final class Batch {
    private static final int MOST_QUEUED = 256;

    private final PriorityQueue<Waiting> queue =
            new PriorityQueue<>(Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::order));
    private final Deque<Dated> history = new ArrayDeque<>();
    private final int capacity;
    private final long reportLagNanos;
    private int running;
    private long lastOrder;

    Batch(int capacity, long reportLagNanos) {
        this.capacity = capacity;
        this.reportLagNanos = reportLagNanos;
    }

    /** Takes a place, or waits for one; empty if the queue is full. */
    synchronized Mono<Boolean> enter(int priority) {
        if (running < capacity) {
            running++;
            note();
            return Mono.just(true);
        }
        if (queue.size() >= MOST_QUEUED) {
            return Mono.empty();
        }
        Waiting waiting = new Waiting(priority, ++lastOrder, Sinks.one());
        queue.add(waiting);
        return waiting.turn().asMono().doOnCancel(() -> abandon(waiting));
    }

    /** Gives a place up. */
    synchronized void leave() {
        Waiting next = queue.poll();
        while (next != null) {
            if (next.turn().tryEmitValue(true).isSuccess()) {
                return;
            }
            next = queue.poll();
        }
        running--;
        note();
    }

    synchronized int running() {
        return running;
    }

    synchronized int queued() {
        return queue.size();
    }

    /** Returns the load as the engine reports it: as it was a while ago. */
    synchronized int reportedRunning(long nowNanos) {
        while (history.size() > 1 && nowNanos - secondAt() >= reportLagNanos) {
            history.removeFirst();
        }
        return history.isEmpty() ? 0 : history.getFirst().running();
    }

    private synchronized void abandon(Waiting waiting) {
        queue.remove(waiting);
    }

    private long secondAt() {
        java.util.Iterator<Dated> each = history.iterator();
        each.next();
        return each.next().atNanos();
    }

    private void note() {
        history.addLast(new Dated(System.nanoTime(), running));
    }

    private record Waiting(int priority, long order, Sinks.One<Boolean> turn) {}

    private record Dated(long atNanos, int running) {}
}
