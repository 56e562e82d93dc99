package org.radishpass.routing.traffic;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.InProgressRequest;
import org.radishpass.routing.reachability.ExitCorroboration;

/**
 * Decides whether what looks like the exit of an endpoint is one, and tells the quarantine. Confined to the traffic event
 * loop.
 */
final class ExitHandler implements EndpointExitDetector.Listener {
    private final TrafficContext context;

    /**
     * Creates a handler.
     *
     * @param context the shared state of the traffic event loop, which may still be incomplete
     */
    ExitHandler(TrafficContext context) {
        this.context = context;
    }

    /**
     * Handles what looks like the exit of an endpoint. If there are other routers, it counts at once only if this router's
     * links work and no other has requests in flight there; otherwise their next reports are awaited.
     */
    @Override
    public void endpointExited(
            ServiceEndpoint endpoint, List<InProgressRequest> inFlightRequests, long exitedAtMillis) {
        if (!context.relay().peers().anyKnown()) {
            exited(endpoint, inFlightRequests, exitedAtMillis);
            return;
        }
        context.prober().checkOwnLinks(endpoint, linksWork -> {
            if (linksWork && contradiction(endpoint) == ExitCorroboration.Contradiction.NONE) {
                exited(endpoint, inFlightRequests, exitedAtMillis);
                return;
            }
            var unused = context.loop()
                    .schedule(
                            () -> decide(endpoint, inFlightRequests, exitedAtMillis),
                            ExitCorroboration.DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
        });
    }

    private void decide(ServiceEndpoint endpoint, List<InProgressRequest> inFlightRequests, long exitedAtMillis) {
        ExitCorroboration.Contradiction contradiction = contradiction(endpoint);
        if (contradiction == ExitCorroboration.Contradiction.NONE) {
            exited(endpoint, inFlightRequests, exitedAtMillis);
        } else {
            context.requestLog().exitContradicted(endpoint, contradiction);
        }
    }

    /**
     * Handles the exit of an endpoint. The exit of an endpoint that had announced that it is leaving is regular, and
     * does not make the requests in flight there suspicious.
     */
    private void exited(ServiceEndpoint endpoint, List<InProgressRequest> inFlightRequests, long exitedAtMillis) {
        context.requestLog().endpointExited(endpoint, inFlightRequests);
        if (!context.filter().leaving(endpoint)) {
            context.quarantine()
                    .endpointCrashed(
                            endpoint.service(), endpoint.hash(), inFlightRequests, exitedAtMillis, context.nowMillis());
        }
    }

    private ExitCorroboration.Contradiction contradiction(ServiceEndpoint endpoint) {
        return new ExitCorroboration(context.health(), context.inFlight(), context::nowMillis).contradiction(endpoint);
    }
}
