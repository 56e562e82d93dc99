package org.radishpass.standin.engine;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The slots of an engine's batch, and the queue of requests that wait for a slot. The smallest priority number is served
 * first, and requests of equal priority are served in order of arrival.
 *
 * @since 0.1.0
 */
final class Batch {
    private static final int MAX_QUEUED = 256;

    private final PriorityQueue<QueuedRequest> queue = new PriorityQueue<>(
            Comparator.comparingInt(QueuedRequest::priority).thenComparingLong(QueuedRequest::arrivalNumber));
    private final Deque<LoadSample> loadHistory = new ArrayDeque<>();
    private final int capacity;
    private final long reportLagNanos;
    private int running;
    private long lastArrivalNumber;

    Batch(int capacity, long reportLagNanos) {
        this.capacity = capacity;
        this.reportLagNanos = reportLagNanos;
    }

    /** Acquires a slot, after waiting in the queue if all slots are taken. Completes empty if the queue is full. */
    synchronized Mono<Boolean> acquireSlot(int priority) {
        if (running < capacity) {
            running++;
            recordLoad();
            return Mono.just(true);
        }
        if (queue.size() >= MAX_QUEUED) {
            return Mono.empty();
        }
        QueuedRequest request = new QueuedRequest(priority, ++lastArrivalNumber, Sinks.one());
        queue.add(request);
        return request.admission().asMono().doOnCancel(() -> removeQueued(request));
    }

    /** Passes a slot on to the next queued request, or frees the slot if no request is queued. */
    synchronized void releaseSlot() {
        QueuedRequest next = queue.poll();
        while (next != null) {
            if (next.admission().tryEmitValue(true).isSuccess()) {
                return;
            }
            next = queue.poll();
        }
        running--;
        recordLoad();
    }

    synchronized int running() {
        return running;
    }

    synchronized int queued() {
        return queue.size();
    }

    /** Returns the number of running requests as reported by the engine, which lags by the report delay. */
    synchronized int reportedRunning(long nowNanos) {
        while (loadHistory.size() > 1 && nowNanos - secondSampleNanos() >= reportLagNanos) {
            loadHistory.removeFirst();
        }
        return loadHistory.isEmpty() ? 0 : loadHistory.getFirst().running();
    }

    private synchronized void removeQueued(QueuedRequest request) {
        queue.remove(request);
    }

    private long secondSampleNanos() {
        java.util.Iterator<LoadSample> samples = loadHistory.iterator();
        samples.next();
        return samples.next().atNanos();
    }

    private void recordLoad() {
        loadHistory.addLast(new LoadSample(System.nanoTime(), running));
    }

    private record QueuedRequest(int priority, long arrivalNumber, Sinks.One<Boolean> admission) {}

    private record LoadSample(long atNanos, int running) {}
}
