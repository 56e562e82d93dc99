package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.radishpass.routing.quarantine.CauseKind;
import org.radishpass.routing.quarantine.Quarantine;

/** The metrics of the quarantine. */
final class QuarantineMetrics {
    private QuarantineMetrics() {
        // static methods only
    }

    static void register(Quarantine quarantine, MeterRegistry metrics) {
        Gauge.builder("radishpass.requests.quarantined", () -> quarantine.causeCount(CauseKind.REQUEST))
                .description("different requests that are refused because endpoints end when they run them")
                .register(metrics);
        Gauge.builder("radishpass.prompt.parts.quarantined", () -> quarantine.causeCount(CauseKind.PROMPT_PART))
                .description("parts of prompts whose requests are refused because endpoints end when they answer them")
                .register(metrics);
    }
}
