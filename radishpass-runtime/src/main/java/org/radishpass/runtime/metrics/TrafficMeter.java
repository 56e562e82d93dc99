package org.radishpass.runtime.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the bytes of control traffic by kind of message and direction.
 *
 * @since 0.1.0
 */
public final class TrafficMeter {
    /** The name of the counter. */
    public static final String COUNTER_NAME = "radishpass.control.bytes";

    private final MeterRegistry registry;
    private final ConcurrentHashMap<String, Counter> sent = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Counter> received = new ConcurrentHashMap<>();

    /**
     * Creates a meter.
     *
     * @param registry the registry for the counters
     */
    public TrafficMeter(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts sent bytes.
     *
     * @param kind the kind of message
     * @param bytes the number of bytes
     */
    public void sent(String kind, int bytes) {
        sent.computeIfAbsent(kind, name -> counter("sent", name)).increment(bytes);
    }

    /**
     * Counts received bytes.
     *
     * @param kind the kind of message
     * @param bytes the number of bytes
     */
    public void received(String kind, int bytes) {
        received.computeIfAbsent(kind, name -> counter("received", name)).increment(bytes);
    }

    private Counter counter(String direction, String kind) {
        return Counter.builder(COUNTER_NAME)
                .description("bytes of control traffic, by kind of message")
                .tag("direction", direction)
                .tag("kind", kind)
                .register(registry);
    }
}
