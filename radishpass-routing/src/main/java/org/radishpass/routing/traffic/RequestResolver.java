package org.radishpass.routing.traffic;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.MalformedHeadException;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.RequestHead;
import org.radishpass.routing.relay.RelayTerms;
import org.radishpass.routing.relay.RelayedRequest;

/** Determines the route, the workspace and the service of a request. */
final class RequestResolver {
    private final RequestDialect dialect;

    RequestResolver(RequestDialect dialect) {
        this.dialect = dialect;
    }

    /**
     * Resolves a request.
     *
     * @param request the request head
     * @param view the current view of the configuration and the endpoints
     * @param record the log record of the request, which receives the request id and the configuration version
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    Resolution resolve(HttpRequest request, RoutingView view, ExchangeRecord record, long nowMillis) {
        Optional<RoutingConfiguration> configuration = view.configuration();
        if (configuration.isEmpty() || !view.complete()) {
            return new Resolution.Refused(
                    RefusalCode.NOT_READY, "no configuration or endpoint list is known yet", RetryDelay.NOT_READY);
        }
        RelayTerms relayed = request instanceof RelayedRequest relayedRequest ? relayedRequest.terms() : null;
        if (relayed != null) {
            record.relayedFor(relayed.senderId());
            if (configuration.get().version() < relayed.configurationVersion()) {
                return new Resolution.Refused(
                        RefusalCode.NOT_READY,
                        "the configuration of this router is older than that of the relaying router",
                        RetryDelay.NOT_READY);
            }
        }
        RequestHead head;
        try {
            head = dialect.decode(request);
        } catch (MalformedHeadException e) {
            return refused(RefusalCode.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
        record.requestIdentified(head.id(), configuration.get().version(), view.inForceSinceMillis());
        Resolution resolution = resolve(head, relayed, configuration.get(), record.receivedAtMillis());
        boolean denied = resolution instanceof Resolution.Refused;
        return denied && nowMillis < view.newerConfigurationExpectedUntilMillis()
                ? configurationOutdated()
                : resolution;
    }

    /**
     * Returns a refusal that replaces a denial while a newer configuration is expected. Other routers may already have
     * the newer configuration, and it may allow the request. Callers do not retry after a denial, but do so when a
     * router is not ready.
     */
    private static Resolution configurationOutdated() {
        return new Resolution.Refused(
                RefusalCode.NOT_READY, "a newer configuration is on its way", RetryDelay.NOT_READY);
    }

    private static Resolution resolve(
            RequestHead head, @Nullable RelayTerms relayed, RoutingConfiguration configuration, long receivedAtMillis) {
        Optional<Route> route = configuration.route(head.host(), head.path());
        if (route.isEmpty()) {
            return refused(RefusalCode.NOT_FOUND, "no route matches the host and path");
        }
        Optional<Workspace> workspace = relayed == null
                ? head.key().flatMap(configuration::workspace)
                : relayed.workspace().flatMap(configuration::workspaceNamed);
        boolean keyRequired = configuration.keysRequired() && !route.get().anonymous();
        if (workspace.isEmpty() && keyRequired) {
            return refused(RefusalCode.UNAUTHORIZED, "the key is missing or unknown");
        }
        String service = service(head, route.get());
        RequestTerms terms = RequestTerms.of(
                head, route.get(), workspace, configuration.service(service), service, receivedAtMillis);
        return new Resolution.Resolved(relayed == null ? terms : terms.within(relayed, receivedAtMillis));
    }

    /** Selects the service of a traffic split by the request id, so that every router selects the same service. */
    private static String service(RequestHead head, Route route) {
        long hash = Rendezvous.hash(head.id());
        return route.split().service(Rendezvous.mix(hash, Rendezvous.hash(route.name())));
    }

    private static Resolution refused(RefusalCode code, String detail) {
        return new Resolution.Refused(code, detail, RetryDelay.NONE);
    }
}
