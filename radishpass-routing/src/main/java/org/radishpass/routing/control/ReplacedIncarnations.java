package org.radishpass.routing.control;

import java.util.Map;
import java.util.Optional;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Remembers the endpoint incarnations that later ones have replaced. The order of reads determines which of two
 * incarnations is the later one, because an endpoint's wall clock may have been set back between them. Confined to the
 * control thread.
 */
final class ReplacedIncarnations {
    private final Map<String, ServiceEndpoint> latestByName = new BoundedMap<>();
    private final Map<String, String> replacedBy = new BoundedMap<>();

    /** Tells whether a later incarnation has replaced an incarnation. */
    boolean isReplaced(ServiceEndpoint endpoint) {
        return replacedBy.containsKey(endpoint.id());
    }

    /**
     * Tells whether another incarnation of the same name was seen last. An endpoint that a peer merely retains may be
     * the earlier of the two.
     */
    boolean differsFromLatest(ServiceEndpoint endpoint) {
        return !latestByName.getOrDefault(endpoint.name(), endpoint).id().equals(endpoint.id());
    }

    /**
     * Tells whether an incarnation's own start time is before that of the latest known incarnation of the same name.
     * Wall clocks may have been set back, so the result is meaningful only while the store may list replaced
     * incarnations.
     */
    boolean startedBeforeLatest(ServiceEndpoint endpoint) {
        ServiceEndpoint latest = latestByName.getOrDefault(endpoint.name(), endpoint);
        return endpoint.incarnation().startedAtMillis() < latest.incarnation().startedAtMillis();
    }

    /**
     * Records an incarnation from a newer list as the latest of its name. The previous incarnation is remembered even
     * if it is gone, because a peer may still list it.
     *
     * @param endpoint the incarnation
     * @return the id of the incarnation that it replaces, if any
     */
    Optional<String> recordLatest(ServiceEndpoint endpoint) {
        ServiceEndpoint previous = latestByName.put(endpoint.name(), endpoint);
        if (previous == null || previous.id().equals(endpoint.id())) {
            return Optional.empty();
        }
        replacedBy.put(previous.id(), endpoint.id());
        return Optional.of(previous.id());
    }
}
