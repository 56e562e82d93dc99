package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ResponseEnd;

/** Counts how responses ended, by the framing of their bodies and the evidence of their ends. */
final class ResponseEndMetrics {
    private final MeterRegistry metrics;

    ResponseEndMetrics(MeterRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts the end of one response.
     *
     * @param framing the framing of the body; {@link BodyFraming#NONE} if no head was received
     * @param end how the response ended
     * @param sender who sent the response to this router
     */
    void ended(BodyFraming framing, ResponseEnd end, Sender sender) {
        Counter.builder("radishpass.response.ends")
                .description("responses by framing, by what showed their end, and by who sent them to this router")
                .tag("framing", framing.text())
                .tag("evidence", end.evidence().text())
                .tag("whole", Boolean.toString(end.whole()))
                .tag("sender", sender.text())
                .register(metrics)
                .increment();
    }

    /** Who sent a response to this router. */
    enum Sender {
        ENDPOINT("endpoint"),
        ROUTER("router");

        private final String text;

        Sender(String text) {
            this.text = text;
        }

        /** Returns the sender as written to metrics. */
        String text() {
            return text;
        }
    }
}
