package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;

/**
 * Probes endpoints in the background. A probe opens a connection, which finds out whether an endpoint that is down is
 * reachable again, or whether a silent endpoint with requests in flight is still reachable. The connection is kept for
 * later requests.
 */
final class EndpointProber {
    /**
     * Milliseconds without received bytes after which an endpoint with requests in flight is probed. Engines that
     * run requests send an event at least every 250 ms, and plain services respond within that time.
     */
    private static final long MAX_SILENCE_MILLIS = 400;

    /**
     * Milliseconds since the last bytes from an endpoint within which the endpoint is assumed to be reachable; about
     * the time of one connection attempt.
     */
    private static final long RECENT_MILLIS = 300;

    /**
     * Like {@link #RECENT_MILLIS}, for endpoints in the data centre of an unreachable endpoint. Engines send events
     * more often than this while requests are in flight.
     */
    private static final long RECENT_SAME_DATA_CENTRE_MILLIS = 80;

    private final TrafficContext context;
    private final Set<String> probing = new HashSet<>();
    private EndpointDirectory knownDirectory = EndpointDirectory.EMPTY;

    EndpointProber(TrafficContext context) {
        this.context = context;
    }

    /** Probes every endpoint that is due for a probe or silent. */
    void probeDue() {
        long nowMillis = context.nowMillis();
        context.reachability().refresh();
        EndpointDirectory directory = context.view().directory();
        if (directory != knownDirectory) {
            knownDirectory = directory;
            // from now on each endpoint has an age of its last received bytes
            directory.all().forEach(endpoint -> context.health().of(endpoint.id(), nowMillis));
        }
        if (!context.health().allHealthy(nowMillis)) {
            probeDown(directory, nowMillis);
        }
        for (Exchange exchange : List.copyOf(context.exchanges())) {
            Attempt attempt = exchange.attempt();
            if (attempt != null && attempt.awaitsResponseLongerThan(MAX_SILENCE_MILLIS, nowMillis)) {
                directory.find(attempt.endpoint().id()).ifPresent(listed -> probeIfSilent(listed, nowMillis));
            }
        }
    }

    private void probeDown(EndpointDirectory directory, long nowMillis) {
        for (ServiceEndpoint endpoint : directory.all()) {
            EndpointHealth health = context.health().of(endpoint.id(), nowMillis);
            if (health.tryBeginProbe(nowMillis)) {
                connect(endpoint, health);
            }
        }
    }

    /**
     * Probes all endpoints from which no bytes were received recently. If one endpoint is unreachable, others may be
     * too, most likely those in its data centre.
     *
     * @param unreachable the unreachable endpoint
     */
    void probeOthers(ServiceEndpoint unreachable) {
        long nowMillis = context.nowMillis();
        for (ServiceEndpoint endpoint : context.view().directory().all()) {
            EndpointHealth health = context.health().of(endpoint.id(), nowMillis);
            boolean sameDataCentre = endpoint.dataCentre().equals(unreachable.dataCentre());
            long recentMillis = sameDataCentre ? RECENT_SAME_DATA_CENTRE_MILLIS : RECENT_MILLIS;
            if (!health.down() && nowMillis - health.bytesReceivedAtMillis() > recentMillis) {
                health.markPossiblyUnreachable();
                connect(endpoint, health);
            }
        }
    }

    /**
     * Probes an endpoint whose response failed. If the endpoint refuses the connection, its process has exited and no
     * request waits for it any longer.
     *
     * @param endpoint the endpoint
     */
    void probe(ServiceEndpoint endpoint) {
        connect(endpoint, context.health().of(endpoint.id(), context.nowMillis()));
    }

    /**
     * Opens a connection to another endpoint, if possible the one that was active last, which shows whether the links of this
     * router work.
     *
     * @param except an endpoint that is not tried
     * @param result receives whether a connection was established; false if all endpoints are down
     */
    void checkOwnLinks(ServiceEndpoint except, Consumer<Boolean> result) {
        long nowMillis = context.nowMillis();
        Optional<ServiceEndpoint> lastActive = context.view().directory().all().stream()
                .filter(endpoint -> !endpoint.id().equals(except.id()))
                .filter(endpoint ->
                        !context.health().of(endpoint.id(), nowMillis).down())
                .max(Comparator.comparingLong(endpoint ->
                        context.health().of(endpoint.id(), nowMillis).bytesReceivedAtMillis()));
        if (lastActive.isEmpty()) {
            result.accept(false);
            return;
        }
        context.connections().pool(lastActive.get()).probe(new ConnectionCallback() {
            @Override
            public void connected(EndpointConnection connection) {
                context.health().of(lastActive.get().id(), context.nowMillis()).connected(context.nowMillis());
                connection.release();
                result.accept(true);
            }

            @Override
            public void shareUsedUp() {
                result.accept(true); // the endpoint has reset the connection, so it is reached
            }

            @Override
            public void connectFailed(ConnectFailure failure) {
                EndpointProber.this.connectFailed(lastActive.get(), failure);
                result.accept(false);
            }
        });
    }

    /**
     * Records that no connection to an endpoint could be established.
     *
     * @param endpoint the endpoint
     * @param failure the reason
     */
    void connectFailed(ServiceEndpoint endpoint, ConnectFailure failure) {
        long nowMillis = context.nowMillis();
        if (failure.refused()) {
            context.exitDetector().connectionRefused(endpoint, nowMillis);
        }
        if (context.health().of(endpoint.id(), nowMillis).unreachable(failure.evidence(), nowMillis)) {
            context.requestLog()
                    .endpointDown(endpoint, failure, context.inFlight().peersAt(endpoint.id()));
            if (!failure.refused()) {
                probeOthers(endpoint); // a machine that refuses connections is reachable, so others may well be
            }
        }
    }

    private static boolean awaitsResponse(@Nullable Attempt attempt, ServiceEndpoint endpoint) {
        return attempt != null && attempt.awaitsResponseFrom(endpoint.id());
    }

    private void probeIfSilent(ServiceEndpoint endpoint, long nowMillis) {
        EndpointHealth health = context.health().of(endpoint.id(), nowMillis);
        if (!health.down() && nowMillis - health.bytesReceivedAtMillis() > MAX_SILENCE_MILLIS) {
            connect(endpoint, health);
        }
    }

    private void reached(ServiceEndpoint endpoint, EndpointHealth health) {
        probing.remove(endpoint.id());
        if (health.down()) {
            context.requestLog().endpointBack(endpoint);
        }
        health.connected(context.nowMillis());
    }

    private void connect(ServiceEndpoint endpoint, EndpointHealth health) {
        if (!probing.add(endpoint.id())) {
            return;
        }
        context.connections().pool(endpoint).probe(new ConnectionCallback() {
            @Override
            public void connected(EndpointConnection connection) {
                reached(endpoint, health);
                connection.release();
            }

            @Override
            public void shareUsedUp() {
                reached(endpoint, health); // the endpoint has reset the connection, so it is running
            }

            @Override
            public void connectFailed(ConnectFailure failure) {
                probing.remove(endpoint.id());
                EndpointProber.this.connectFailed(endpoint, failure);
                List<Exchange> waiting = new ArrayList<>(context.exchanges());
                waiting.stream()
                        .filter(exchange -> awaitsResponse(exchange.attempt(), endpoint))
                        .forEach(Exchange::endpointUnreachable);
            }
        });
    }
}
