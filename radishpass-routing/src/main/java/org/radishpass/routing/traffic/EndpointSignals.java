package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointBackoffs;
import org.radishpass.routing.health.LeavingEndpoints;

/**
 * Processes what endpoints state about themselves in response heads: that they are leaving, or that they reject
 * requests until a backoff ends. Confined to the traffic event loop.
 */
final class EndpointSignals {
    private final MonotonicClock clock;
    private final RequestLog requestLog;
    private final EndpointListener listener;
    private final LeavingEndpoints leaving = new LeavingEndpoints();
    private final EndpointBackoffs backoffs = new EndpointBackoffs();
    private final Counter rejections;
    private final Counter sendsWhileLeaving;
    private final Counter sendsInBackoff;

    EndpointSignals(
            MonotonicClock clock,
            Supplier<EndpointDirectory> directory,
            RequestLog requestLog,
            EndpointListener listener,
            MeterRegistry metrics) {
        this.clock = clock;
        this.requestLog = requestLog;
        this.listener = listener;
        this.rejections = Counter.builder("radishpass.endpoint.rejections")
                .description("requests that endpoints rejected with Retry-After")
                .register(metrics);
        this.sendsWhileLeaving =
                sendCounter("radishpass.endpoint.sends.leaving", "that had stated that they drain", metrics);
        this.sendsInBackoff = sendCounter("radishpass.endpoint.sends.backoff", "that were in backoff", metrics);
        Gauge.builder("radishpass.endpoints.leaving", leaving, LeavingEndpoints::size)
                .tag("source", "answer")
                .description("listed endpoints that are draining, by where that is known from")
                .register(metrics);
        Gauge.builder("radishpass.endpoints.leaving", directory, listed -> countLeaving(listed.get()))
                .tag("source", "list")
                .description("listed endpoints that are draining, by where that is known from")
                .register(metrics);
        Gauge.builder("radishpass.endpoints.backoff", backoffs, all -> all.count(clock.millis()))
                .description("endpoints that are sent nothing because they rejected a request with Retry-After")
                .register(metrics);
    }

    private static Counter sendCounter(String name, String to, MeterRegistry metrics) {
        return Counter.builder(name)
                .description("requests that were sent to endpoints " + to)
                .register(metrics);
    }

    private static long countLeaving(EndpointDirectory directory) {
        return directory.all().stream().filter(ServiceEndpoint::leaving).count();
    }

    LeavingEndpoints leaving() {
        return leaving;
    }

    EndpointBackoffs backoffs() {
        return backoffs;
    }

    /** Processes the head of a response, whichever request the response belongs to. */
    void headReceived(ServiceEndpoint endpoint, ResponseHead head) {
        long nowMillis = clock.millis();
        if (head.leaving() && leaving.note(endpoint.id(), nowMillis)) {
            requestLog.endpointLeaving(endpoint);
            listener.endpointLeaving(endpoint);
        }
        head.backoffMillis().ifPresent(millis -> rejected(endpoint, millis, nowMillis));
    }

    private void rejected(ServiceEndpoint endpoint, long backoffMillis, long nowMillis) {
        rejections.increment();
        if (backoffs.rejected(endpoint.id(), backoffMillis, nowMillis)) {
            requestLog.endpointBackoff(endpoint, backoffMillis);
        }
    }

    /** Tells whether an endpoint accepts new requests of this router, as far as its rejections show. */
    boolean admits(ServiceEndpoint endpoint) {
        return backoffs.admits(endpoint.id(), clock.millis());
    }

    /** Tells whether no endpoint is in backoff or recovering from one, so that all accept new requests. */
    boolean admitsAll() {
        return backoffs.none();
    }

    /**
     * Records that a request is being sent.
     *
     * @return whether the request tests the end of a backoff, so that {@link #backoffTested} must be called for it
     */
    boolean requestSent(ServiceEndpoint endpoint) {
        return backoffs.sent(endpoint.id());
    }

    /** Records whether an endpoint accepted the request that tested the end of its backoff. */
    void backoffTested(ServiceEndpoint endpoint, boolean accepted) {
        backoffs.answered(endpoint.id(), accepted, clock.millis());
    }

    /**
     * Counts a request that is being sent although its endpoint is leaving or in backoff.
     *
     * @return what the endpoint has stated, as a suffix for the log record of the request; empty if nothing
     */
    String countUnwantedSend(ServiceEndpoint endpoint) {
        long nowMillis = clock.millis();
        OptionalLong leavingSince = leaving.sinceMillis(endpoint.id());
        if (leavingSince.isPresent()) {
            sendsWhileLeaving.increment();
            return " leavingFor " + (nowMillis - leavingSince.getAsLong());
        }
        if (backoffs.inForce(endpoint.id(), nowMillis)) {
            sendsInBackoff.increment();
            return " backoffLeft " + (backoffs.untilMillis(endpoint.id()) - nowMillis);
        }
        return "";
    }

    /** Removes endpoints that are no longer listed. */
    void retain(EndpointDirectory directory) {
        leaving.retain(directory);
        backoffs.retain(directory);
    }
}
