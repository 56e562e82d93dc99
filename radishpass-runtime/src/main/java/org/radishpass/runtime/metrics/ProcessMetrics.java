package org.radishpass.runtime.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/**
 * Registers the counter of the processor time of a process's control threads, which excludes the threads that serve
 * traffic, and a gauge of the used heap.
 *
 * @since 0.1.0
 */
public final class ProcessMetrics {
    /** The prefix of the names of control threads. */
    public static final String THREAD_PREFIX = "control";

    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private ProcessMetrics() {
        // static methods only
    }

    /**
     * Registers the metrics.
     *
     * @param metrics the registry
     */
    public static void register(MeterRegistry metrics) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        FunctionCounter.builder("radishpass.control.cpu", threads, ProcessMetrics::seconds)
                .description("processor time of the control threads")
                .baseUnit("seconds")
                .register(metrics);
        Runtime memory = Runtime.getRuntime();
        io.micrometer.core.instrument.Gauge.builder(
                        "radishpass.heap.used", memory, heap -> (double) heap.totalMemory() - heap.freeMemory())
                .description("heap in use, garbage included")
                .baseUnit("bytes")
                .register(metrics);
    }

    private static double seconds(ThreadMXBean threads) {
        double nanos = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(THREAD_PREFIX)) {
                nanos += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return nanos / NANOS_PER_SECOND;
    }
}
