package org.radishpass.routing.control;

import java.util.Map;
import java.util.Optional;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * The starts of endpoints that later ones have replaced. Which of two is the later is told by the order of readings: a wall clock may
 * have stepped back between them. Belongs to the control thread.
 */
final class ReplacedStarts {
    private final Map<String, ServiceEndpoint> latestByName = new RecentNames<>();
    private final Map<String, String> replacedBy = new RecentNames<>();

    /** Tells whether a later start has replaced this one before. */
    boolean replaced(ServiceEndpoint endpoint) {
        return replacedBy.containsKey(endpoint.id());
    }

    /** Tells whether another start of the same name was seen last: one that a peer only keeps may be the earlier of the two. */
    boolean otherKnown(ServiceEndpoint endpoint) {
        return !latestByName.getOrDefault(endpoint.name(), endpoint).id().equals(endpoint.id());
    }

    /**
     * Tells whether by its own account a start is earlier than the one that was seen last of the same name. A clock may have stepped back, so that this means
     * something only while a start may be listed that has been replaced before.
     */
    boolean earlierByItsClock(ServiceEndpoint endpoint) {
        ServiceEndpoint latest = latestByName.getOrDefault(endpoint.name(), endpoint);
        return endpoint.incarnation().startedAtMillis() < latest.incarnation().startedAtMillis();
    }

    /**
     * Takes a start of a newer list. The start before it is remembered although it may be gone: a peer may keep it still.
     *
     * @param endpoint the start
     * @return the id of the start that it replaces
     */
    Optional<String> replacing(ServiceEndpoint endpoint) {
        ServiceEndpoint earlier = latestByName.put(endpoint.name(), endpoint);
        if (earlier == null || earlier.id().equals(endpoint.id())) {
            return Optional.empty();
        }
        replacedBy.put(earlier.id(), endpoint.id());
        return Optional.of(earlier.id());
    }
}
