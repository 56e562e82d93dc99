package org.radishpass.load.internal.slope;

import java.util.Arrays;

/**
 * Times a small piece of work by repeating it, and weighs what it keeps.
 *
 * @since 0.1.0
 */
final class Stopwatch {
    private static final int ROUNDS = 7;
    private static final long ROUND_NANOS = 120_000_000L;
    private static final double NANOS_PER_MICRO = 1_000;

    private Stopwatch() {
        // static methods only
    }

    /** Returns the median time of one run, in microseconds. */
    static double micros(Runnable work) {
        double[] rounds = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            long end = start;
            int runs = 0;
            while (end - start < ROUND_NANOS) {
                work.run();
                runs++;
                end = System.nanoTime();
            }
            rounds[round] = (end - start) / NANOS_PER_MICRO / runs;
        }
        Arrays.sort(rounds);
        return rounds[ROUNDS / 2];
    }

    /** Returns the heap that is kept by what the work returns, in bytes. */
    static double heapBytes(java.util.function.Supplier<Object> work) {
        long before = usedHeap();
        Object kept = work.get();
        try {
            return Math.max(0, usedHeap() - before);
        } finally {
            java.lang.ref.Reference.reachabilityFence(kept);
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
