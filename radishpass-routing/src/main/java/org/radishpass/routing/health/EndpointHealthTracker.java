package org.radishpass.routing.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Tracks the health of all endpoints as known to this router. Confined to the traffic thread.
 *
 * @since 0.2.0
 */
public final class EndpointHealthTracker {
    /**
     * The maximum fraction of a service's endpoints to eject as failing; if more are failing, the cause lies elsewhere.
     */
    private static final double MAX_EJECTED_FRACTION = 0.4;

    /**
     * The time for which a peer's report of a failing endpoint is valid, in milliseconds: a few messages of the peer.
     * Each router sees only a part of an endpoint's responses; a report spares other routers the same errors.
     */
    private static final long PEER_REPORT_VALID_MILLIS = 1_000;

    private final Map<String, EndpointHealth> byEndpoint = new HashMap<>();

    private final ImpairedEndpoints impaired = new ImpairedEndpoints();

    /**
     * Returns the health of an endpoint.
     *
     * @param endpointId the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public EndpointHealth of(String endpointId, long nowMillis) {
        EndpointHealth known = byEndpoint.get(endpointId);
        if (known != null) {
            return known;
        }
        EndpointHealth created = new EndpointHealth(nowMillis, impaired);
        byEndpoint.put(endpointId, created);
        return created;
    }

    /**
     * Tells whether every known endpoint is reachable and not failing.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.8.0
     */
    public boolean allHealthy(long nowMillis) {
        return impaired.none(nowMillis);
    }

    /**
     * Returns when a connection to any endpoint last failed, on the monotonic clock in milliseconds; a time long ago if
     * none failed.
     *
     * @since 0.8.0
     */
    public long lastUnreachableAtMillis() {
        return impaired.lastUnreachableAtMillis();
    }

    /**
     * Returns the endpoints to which requests can be sent: those that are neither down, nor possibly unreachable, nor
     * failing. A condition that would leave too few endpoints is ignored; if all endpoints are down, all are returned.
     *
     * @param accepting the endpoints of a service that accept new requests
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<ServiceEndpoint> usable(List<ServiceEndpoint> accepting, long nowMillis) {
        if (allHealthy(nowMillis)) {
            return accepting;
        }
        List<ServiceEndpoint> reachable = likelyReachable(accepting, nowMillis);
        if (reachable.isEmpty()) {
            return accepting;
        }
        List<ServiceEndpoint> healthy = notFailing(reachable, nowMillis);
        return tooFew(healthy, reachable) ? reachable : healthy;
    }

    /**
     * Tells whether this router has no path to any of the endpoints: connections to at least one fail, and none of the
     * others is known to be reached.
     *
     * @param endpoints the endpoints
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.9.0
     */
    public boolean noneReached(List<ServiceEndpoint> endpoints, long nowMillis) {
        if (endpoints.isEmpty() || allHealthy(nowMillis)) {
            return false;
        }
        return reachedCount(endpoints, nowMillis) == 0
                && endpoints.stream()
                        .anyMatch(endpoint -> of(endpoint.id(), nowMillis).down());
    }

    /**
     * Tells whether this router reaches no endpoint at all, so that the cause is probably its own links. Endpoints that it
     * has not tried then count as not reached.
     */
    private boolean isolated() {
        return byEndpoint.values().stream()
                .noneMatch(health -> !health.down() && health.link().state() == LinkState.REACHED);
    }

    /**
     * Tells whether this router has lost the links to all endpoints: connections to several fail, and none is reached.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.9.0
     */
    public boolean isolated(long nowMillis) {
        return !allHealthy(nowMillis)
                && isolated()
                && byEndpoint.values().stream().filter(EndpointHealth::down).count() > 1;
    }

    /**
     * Returns the number of endpoints that this router reaches for all it knows.
     *
     * @param endpoints the endpoints
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.9.0
     */
    public int reachedCount(List<ServiceEndpoint> endpoints, long nowMillis) {
        int reached = 0;
        for (ServiceEndpoint endpoint : endpoints) {
            EndpointHealth health = of(endpoint.id(), nowMillis);
            boolean up = !health.down() && !health.possiblyUnreachable();
            reached += up && (health.link().state() == LinkState.REACHED || !isolated()) ? 1 : 0;
        }
        return reached;
    }

    /**
     * Tells whether so many endpoints of a service are down or failing that the cause is probably this router or a
     * general overload. Trying a request elsewhere early is then pointless.
     *
     * @param accepting the endpoints of a service that accept new requests
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean mostlyUnhealthy(List<ServiceEndpoint> accepting, long nowMillis) {
        if (allHealthy(nowMillis)) {
            return false;
        }
        return tooFew(notFailing(reachable(accepting, nowMillis), nowMillis), accepting);
    }

    private List<ServiceEndpoint> notFailing(List<ServiceEndpoint> endpoints, long nowMillis) {
        List<ServiceEndpoint> healthy = new ArrayList<>(endpoints.size());
        for (ServiceEndpoint endpoint : endpoints) {
            if (!of(endpoint.id(), nowMillis).failing(nowMillis)) {
                healthy.add(endpoint);
            }
        }
        return healthy;
    }

    private static boolean tooFew(List<ServiceEndpoint> healthy, List<ServiceEndpoint> all) {
        return healthy.size() < all.size() * (1 - MAX_EJECTED_FRACTION);
    }

    /** Returns the endpoints that are not down, without those possibly unreachable unless there are no others. */
    private List<ServiceEndpoint> likelyReachable(List<ServiceEndpoint> accepting, long nowMillis) {
        List<ServiceEndpoint> reachable = reachable(accepting, nowMillis);
        List<ServiceEndpoint> likely = new ArrayList<>(reachable.size());
        for (ServiceEndpoint endpoint : reachable) {
            if (!of(endpoint.id(), nowMillis).possiblyUnreachable()) {
                likely.add(endpoint);
            }
        }
        return likely.isEmpty() ? reachable : likely;
    }

    /** Returns the ids of the endpoints that are failing according to this router or to a member of its group. */
    public List<String> failingInGroup(long nowMillis) {
        return allHealthy(nowMillis) ? List.of() : idsOf(health -> health.failingInGroup(nowMillis));
    }

    /** Returns the ids of the endpoints that are failing according to this router or to any report of a peer. */
    public List<String> failing(long nowMillis) {
        return allHealthy(nowMillis) ? List.of() : idsOf(health -> health.failing(nowMillis));
    }

    private List<String> idsOf(Predicate<EndpointHealth> wanted) {
        return byEndpoint.entrySet().stream()
                .filter(entry -> wanted.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Records a peer's report of failing endpoints.
     *
     * @param endpointIds the endpoints
     * @param scope the routers on whose behalf the peer reports
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void recordReportedFailing(List<String> endpointIds, WorkScope scope, long nowMillis) {
        endpointIds.forEach(id -> of(id, nowMillis).recordReportedFailing(scope, nowMillis + PEER_REPORT_VALID_MILLIS));
    }

    /**
     * Returns the endpoints that are not down.
     *
     * @param endpoints the endpoints
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<ServiceEndpoint> reachable(List<ServiceEndpoint> endpoints, long nowMillis) {
        if (allHealthy(nowMillis)) {
            return endpoints;
        }
        List<ServiceEndpoint> reachable = new ArrayList<>(endpoints.size());
        for (ServiceEndpoint endpoint : endpoints) {
            if (!of(endpoint.id(), nowMillis).down()) {
                reachable.add(endpoint);
            }
        }
        return reachable;
    }

    /**
     * Returns the endpoints from which bytes arrived recently; all endpoints if there are none.
     *
     * @param endpoints the endpoints
     * @param withinMillis the maximum age of the last received bytes, in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<ServiceEndpoint> recentlyActive(List<ServiceEndpoint> endpoints, long withinMillis, long nowMillis) {
        List<ServiceEndpoint> active = new ArrayList<>(endpoints.size());
        for (ServiceEndpoint endpoint : endpoints) {
            if (nowMillis - of(endpoint.id(), nowMillis).bytesReceivedAtMillis() <= withinMillis) {
                active.add(endpoint);
            }
        }
        return active.isEmpty() ? endpoints : active;
    }

    /**
     * Removes endpoints that are no longer in the directory.
     *
     * @param directory the current endpoints
     */
    public void retain(EndpointDirectory directory) {
        byEndpoint.entrySet().removeIf(entry -> {
            boolean unlisted = directory.find(entry.getKey()).isEmpty();
            if (unlisted) {
                impaired.remove(entry.getValue());
            }
            return unlisted;
        });
    }
}
