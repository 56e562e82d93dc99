package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.radishpass.routing.admission.AdmissionController;
import org.radishpass.routing.admission.AdmissionStatistics;

/** Registers the metrics of admission, which are read from its state when they are queried. */
final class AdmissionMetrics {
    private AdmissionMetrics() {
        // static methods only
    }

    static void register(ArrivalQueue arrivals, MonotonicClock clock, MeterRegistry metrics) {
        AdmissionController<?> admission = arrivals.admission();
        AdmissionStatistics statistics = admission.statistics();
        FunctionCounter.builder("radishpass.admission.refusals", statistics, AdmissionStatistics::refusals)
                .description("requests that were refused because they could not be served in time")
                .register(metrics);
        Gauge.builder("radishpass.admission.queue", admission, AdmissionController::size)
                .description("requests that wait until they are started")
                .register(metrics);
        Gauge.builder("radishpass.admission.rate", admission, AdmissionController::startsPerSecond)
                .description("requests started per second while requests wait")
                .register(metrics);
        Gauge.builder("radishpass.admission.promised", admission, all -> all.promisedReturns(clock.millis()))
                .description("refused callers whose time to return has not passed")
                .register(metrics);
        Gauge.builder("radishpass.admission.loop.delay", arrivals, ArrivalQueue::loopDelaySeconds)
                .baseUnit("seconds")
                .description("time until the event loop runs its next iteration, averaged")
                .register(metrics);
    }
}
