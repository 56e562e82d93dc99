package org.radishpass.runtime.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/**
 * Counts the processor time of a process's control threads, apart from traffic's.
 *
 * @since 0.1.0
 */
public final class ControlCpu {
    /** What the names of control threads start with. */
    public static final String THREAD_PREFIX = "control";

    private static final double NANOS = 1_000_000_000;

    private ControlCpu() {
        // static methods only
    }

    /**
     * Shows the time as a counter.
     *
     * @param metrics where metrics are kept
     */
    public static void register(MeterRegistry metrics) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        FunctionCounter.builder("radishpass.control.cpu", threads, ControlCpu::seconds)
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
        return nanos / NANOS;
    }
}
