package org.radishpass.load.internal.slope;

import java.util.Arrays;

/**
 * Measures the mean time of a short operation, and the heap that the result of an operation retains.
 *
 * @since 0.1.0
 */
final class MicroBenchmark {
    private static final int ROUNDS = 7;
    private static final long MIN_ROUND_NANOS = 120_000_000L;
    private static final double NANOS_PER_MICRO = 1_000;

    private MicroBenchmark() {
        // static methods only
    }

    /** Returns the median over all rounds of an operation's mean time, in microseconds. */
    static double medianMicros(Runnable operation) {
        double[] rounds = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            long end = start;
            int runs = 0;
            while (end - start < MIN_ROUND_NANOS) {
                operation.run();
                runs++;
                end = System.nanoTime();
            }
            rounds[round] = (end - start) / NANOS_PER_MICRO / runs;
        }
        Arrays.sort(rounds);
        return rounds[ROUNDS / 2];
    }

    /** Returns the heap that an operation's result retains, in bytes. */
    static double retainedHeapBytes(java.util.function.Supplier<Object> operation) {
        long before = usedHeap();
        Object retained = operation.get();
        try {
            return Math.max(0, usedHeap() - before);
        } finally {
            java.lang.ref.Reference.reachabilityFence(retained);
        }
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
