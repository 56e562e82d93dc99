package org.radishpass.routing.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * This router's part of what an endpoint that has just started is given by all. A few routers are responsible for each endpoint, by
 * rendezvous, and each of them has an equal part of the allowance; the others send it nothing until it is warm. So the limit holds
 * without a word between routers, while some of them are cut off, and in fleets of any size. A router that does not know its fleet is
 * responsible for none.
 *
 * <p>Belongs to the traffic thread.
 *
 * @since 0.6.0
 */
public final class ColdStartShares {
    /** Routers that are responsible for one endpoint: enough that it is used although some of them are down or idle. */
    static final int RESPONSIBLE = 4;

    /** Milliseconds in which a part may be used once: a second, and what the ways of two requests may differ by. */
    static final long WINDOW_MILLIS = 1_100;

    private final Map<String, Deque<Long>> sentAtMillis = new HashMap<>();
    private ColdStartAllowance allowance = ColdStartAllowance.DEFAULT;

    /**
     * Takes over what all routers together may send.
     *
     * @param newAllowance the allowance
     */
    public void allowance(ColdStartAllowance newAllowance) {
        this.allowance = newAllowance;
    }

    /**
     * Tells whether this router may send a request now to an endpoint that has just started.
     *
     * @param endpoint the endpoint
     * @param coldStart what it bears
     * @param members the routers of the fleet
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean admits(ServiceEndpoint endpoint, ColdStart coldStart, FleetMembers members, long nowMillis) {
        int planned = (int) Math.floor(allowance.planned(coldStart));
        int responsible = Math.min(RESPONSIBLE, Math.min(planned, members.count()));
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
     * Notes that a request was sent to an endpoint that has just started.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(ServiceEndpoint endpoint, long nowMillis) {
        sentAtMillis.computeIfAbsent(endpoint.id(), id -> new ArrayDeque<>()).addLast(nowMillis);
    }

    /**
     * Forgets what was sent longer ago than matters.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void tidy(long nowMillis) {
        sentAtMillis.values().removeIf(sent -> sent.isEmpty() || nowMillis - sent.peekLast() >= WINDOW_MILLIS);
    }
}
