package org.radishpass.standin.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.radishpass.standin.engine.EngineStandIn;

/**
 * Samples the true load of the engines, from which load skew over time is calculated.
 *
 * @since 0.1.0
 */
final class LoadSampler {
    private final List<List<Integer>> samples = new ArrayList<>();
    private final Collection<EngineStandIn> engines;

    LoadSampler(Collection<EngineStandIn> engines) {
        this.engines = engines;
    }

    synchronized void sample() {
        List<Integer> loads = engines.stream()
                .filter(EngineStandIn::serving)
                .map(EngineStandIn::running)
                .toList();
        samples.add(loads);
    }

    synchronized void reset() {
        samples.clear();
    }

    /** Returns all samples. Each sample lists the running requests of every engine that was serving at that time. */
    synchronized Map<String, Object> snapshot() {
        return Map.of("samples", List.copyOf(samples));
    }
}
