package org.radishpass.routing.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Limits the requests that this router sends to each endpoint that is warming up to its share of the fleet's allowance.
 *
 * <p>Rendezvous hashing makes a few routers responsible for each endpoint. Each responsible router has an equal share
 * of the allowance. All other routers send the endpoint nothing until its warm-up is over. The limit therefore holds
 * without messages between routers, while some of them are disconnected, and for any size of the fleet. A router that
 * does not know the members of its fleet is responsible for no endpoint.
 *
 * <p>Confined to the traffic thread.
 *
 * @since 0.6.0
 */
public final class ColdStartShares {
    /** The number of routers responsible for one endpoint: enough to use the endpoint while some are down or idle. */
    static final int MAX_RESPONSIBLE_ROUTERS = 4;

    /**
     * The time in which a share may be used once, in milliseconds: a second, and the jitter of two requests' transit.
     */
    static final long WINDOW_MILLIS = 1_100;

    private final Map<String, Deque<Long>> sentAtMillis = new HashMap<>();
    private ColdStartAllowance allowance = ColdStartAllowance.DEFAULT;

    /**
     * Replaces the allowance of the fleet.
     *
     * @param newAllowance the requests that all routers together may send to an endpoint that is warming up
     */
    public void allowance(ColdStartAllowance newAllowance) {
        this.allowance = newAllowance;
    }

    /**
     * Tells whether this router may send a request now to an endpoint that is warming up.
     *
     * @param endpoint the endpoint
     * @param coldStart the warm-up of the endpoint
     * @param members the routers of the fleet
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean admits(ServiceEndpoint endpoint, ColdStart coldStart, FleetMembers members, long nowMillis) {
        int planned = (int) Math.floor(allowance.planned(coldStart));
        int responsible = Math.min(MAX_RESPONSIBLE_ROUTERS, Math.min(planned, members.count()));
        if (!members.responsible(endpoint.hash(), responsible)) {
            return false;
        }
        Deque<Long> sent = sentAtMillis.get(endpoint.id());
        if (sent == null) {
            return true;
        }
        while (!sent.isEmpty() && nowMillis - sent.peekFirst() >= WINDOW_MILLIS) {
            sent.removeFirst();
        }
        return sent.size() < planned / responsible;
    }

    /**
     * Counts a request that was sent to an endpoint that is warming up.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(ServiceEndpoint endpoint, long nowMillis) {
        sentAtMillis.computeIfAbsent(endpoint.id(), id -> new ArrayDeque<>()).addLast(nowMillis);
    }

    /**
     * Removes the endpoints to which nothing was sent within the last window.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void tidy(long nowMillis) {
        sentAtMillis.values().removeIf(sent -> sent.isEmpty() || nowMillis - sent.peekLast() >= WINDOW_MILLIS);
    }
}
