package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.AtWork;
import org.radishpass.routing.quarantine.RequestFingerprint;

/**
 * Puts together that an endpoint's process has ended and which requests were at work there. A broken answer alone does not show it:
 * only that the endpoint then refuses connections. Belongs to the traffic thread.
 */
final class EndpointEnds {
    /**
     * Milliseconds within which broken answers and a refused connection belong together: a process that ends closes all its connections
     * within a few milliseconds, and one that is started again takes longer.
     */
    private static final long TOGETHER_MILLIS = 1_000;

    private final Map<String, Breaks> byEndpoint = new HashMap<>();
    private final Listener listener;

    EndpointEnds(Listener listener) {
        this.listener = listener;
    }

    /**
     * Notes an answer that broke off.
     *
     * @param endpoint the endpoint
     * @param request the request that was at work there
     * @param atWorkMillis for how long, in milliseconds since it was sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    void broke(ServiceEndpoint endpoint, RequestFingerprint request, long atWorkMillis, long nowMillis) {
        Breaks breaks = breaks(endpoint, nowMillis);
        breaks.requests.add(new AtWork(request, atWorkMillis));
        if (breaks.refused) {
            tell(endpoint, breaks);
        }
    }

    /**
     * Notes that an endpoint refuses connections.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    void refused(ServiceEndpoint endpoint, long nowMillis) {
        Breaks breaks = breaks(endpoint, nowMillis);
        breaks.refused = true;
        tell(endpoint, breaks);
    }

    /** Tells whether an endpoint has refused a connection lately. */
    boolean hasEnded(String endpointId) {
        Breaks breaks = byEndpoint.get(endpointId);
        return breaks != null && breaks.refused;
    }

    private Breaks breaks(ServiceEndpoint endpoint, long nowMillis) {
        Breaks known = byEndpoint.get(endpoint.id());
        if (known != null && nowMillis - known.atMillis <= TOGETHER_MILLIS) {
            return known;
        }
        Breaks created = new Breaks(nowMillis);
        byEndpoint.put(endpoint.id(), created);
        return created;
    }

    /** Forgets answers that broke off too long ago to belong to anything that comes. */
    void tidy(long nowMillis) {
        Iterator<Breaks> all = byEndpoint.values().iterator();
        while (all.hasNext()) {
            if (nowMillis - all.next().atMillis > TOGETHER_MILLIS) {
                all.remove();
            }
        }
    }

    private void tell(ServiceEndpoint endpoint, Breaks breaks) {
        List<AtWork> news = List.copyOf(breaks.requests);
        breaks.requests.clear();
        if (!news.isEmpty()) {
            listener.ended(endpoint, news);
        }
    }

    /** Hears of endpoints that have ended. */
    @FunctionalInterface
    interface Listener {
        /** An endpoint has ended with these requests at work; once more for those whose answers break off a little later. */
        void ended(ServiceEndpoint endpoint, List<AtWork> atWork);
    }

    /** What has happened at one endpoint since a moment. */
    private static final class Breaks {
        private final List<AtWork> requests = new ArrayList<>();
        private final long atMillis;
        private boolean refused;

        private Breaks(long atMillis) {
            this.atMillis = atMillis;
        }
    }
}
