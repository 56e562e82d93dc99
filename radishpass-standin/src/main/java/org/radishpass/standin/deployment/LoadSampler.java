package org.radishpass.standin.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.radishpass.standin.engine.EngineStandIn;

/**
 * Samples the engines' own load, for skew over time.
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

    /** Returns the samples, each the load of every engine that served then. */
    synchronized Map<String, Object> view() {
        return Map.of("samples", List.copyOf(samples));
    }
}
