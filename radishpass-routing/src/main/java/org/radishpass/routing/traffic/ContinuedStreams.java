package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.stream.OriginSource;
import org.radishpass.routing.stream.StreamOrigin;

/** Counts streams that are sent to another endpoint after their first event, by whether the software version is the same. */
final class ContinuedStreams {
    private final Counter sameVersion;
    private final Counter otherVersion;
    private final Map<OriginSource, Counter> takenUp = new EnumMap<>(OriginSource.class);
    private final Map<ResponseEndMetrics.Sender, Counter> rejected = new EnumMap<>(ResponseEndMetrics.Sender.class);

    ContinuedStreams(MeterRegistry metrics) {
        this.sameVersion = counter("same", metrics);
        this.otherVersion = counter("other", metrics);
        for (OriginSource source : OriginSource.values()) {
            takenUp.put(
                    source,
                    Counter.builder("radishpass.streams.taken.up")
                            .description("streams that callers took up, by from where it is known what began them")
                            .tag("source", source.text())
                            .register(metrics));
        }
        for (ResponseEndMetrics.Sender sender : ResponseEndMetrics.Sender.values()) {
            rejected.put(
                    sender,
                    Counter.builder("radishpass.streams.continuations.rejected")
                            .description(
                                    "responses that were to continue a begun one and are something else, by their sender")
                            .tag("sender", sender.text())
                            .register(metrics));
        }
    }

    /** Counts a response that was to continue a stream and is something else. */
    void rejected(ResponseEndMetrics.Sender sender) {
        Objects.requireNonNull(rejected.get(sender)).increment();
    }

    /**
     * Counts a stream that is sent to another endpoint within one response.
     *
     * @param origin what began the stream
     * @param endpoint the endpoint that is to continue it
     */
    void continued(StreamOrigin origin, ServiceEndpoint endpoint) {
        Counter counter = origin.continuableAt(endpoint) ? sameVersion : otherVersion;
        counter.increment();
    }

    /** Counts a stream that a caller takes up. */
    void takenUp(OriginSource source) {
        Objects.requireNonNull(takenUp.get(source)).increment();
    }

    private static Counter counter(String version, MeterRegistry metrics) {
        return Counter.builder("radishpass.streams.continued")
                .description("streams sent to another endpoint after their first event, by its software version")
                .tag("version", version)
                .register(metrics);
    }
}
