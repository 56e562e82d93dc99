package org.radishpass.routing.traffic;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.MalformedHeadException;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.RequestHead;

/** Finds the route, the workspace and the service of a request. */
final class RequestResolver {
    private final RequestDialect dialect;

    RequestResolver(RequestDialect dialect) {
        this.dialect = dialect;
    }

    /**
     * Resolves a request.
     *
     * @param request its head
     * @param view what is believed now
     * @param record the account of the request; learns its id and the configuration
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    Resolution resolve(HttpRequest request, RoutingView view, ExchangeRecord record, long nowMillis) {
        Optional<RoutingConfiguration> known = view.configuration();
        if (known.isEmpty() || !view.complete()) {
            return new Resolution.Refused(
                    RefusalCode.NOT_READY, "no configuration or endpoint list is known yet", RetryDelay.NOT_READY);
        }
        RequestHead head;
        try {
            head = dialect.decode(request);
        } catch (MalformedHeadException e) {
            return refused(RefusalCode.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
        record.request(head.id(), known.get().version(), view.inForceSinceMillis());
        Resolution resolution = resolve(head, known.get(), record.receivedAtMillis());
        boolean denied = resolution instanceof Resolution.Refused;
        return denied && nowMillis < view.newerExpectedUntilMillis() ? notYet() : resolution;
    }

    /**
     * What the configuration in force denies, a newer one may allow that other routers have already. Callers do not come back after a
     * denial, but do when a router says that it is not ready.
     */
    private static Resolution notYet() {
        return new Resolution.Refused(
                RefusalCode.NOT_READY, "a newer configuration is on its way", RetryDelay.NOT_READY);
    }

    private static Resolution resolve(RequestHead head, RoutingConfiguration configuration, long receivedAtMillis) {
        Optional<Route> route = configuration.route(head.host(), head.path());
        if (route.isEmpty()) {
            return refused(RefusalCode.NOT_FOUND, "no route matches the host and path");
        }
        Optional<Workspace> workspace = head.key().flatMap(configuration::workspace);
        boolean keyNeeded = configuration.keysRequired() && !route.get().anonymous();
        if (workspace.isEmpty() && keyNeeded) {
            return refused(RefusalCode.UNAUTHORIZED, "the key is missing or unknown");
        }
        String service = service(head, route.get());
        return new Resolution.Resolved(
                Terms.of(head, route.get(), workspace, configuration.service(service), service, receivedAtMillis));
    }

    /** Requests of one id go to the same service of a split, whichever router they come to. */
    private static String service(RequestHead head, Route route) {
        long hash = Rendezvous.hash(head.id());
        return route.split().service(Rendezvous.mix(hash, Rendezvous.hash(route.name())));
    }

    private static Resolution refused(RefusalCode code, String detail) {
        return new Resolution.Refused(code, detail, RetryDelay.NONE);
    }
}
