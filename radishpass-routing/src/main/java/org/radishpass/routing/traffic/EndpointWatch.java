package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;

/**
 * Looks after endpoints in the background: finds out whether one that is down is back, and whether one that has gone
 * silent with work in flight can still be reached. A connection alone is made for that; it is kept for later requests.
 */
final class EndpointWatch {
    /**
     * Milliseconds without a byte, with work in flight, after which an endpoint's silence is looked into. Engines that
     * run anything send an event at least every 250 ms; plain services answer within it.
     */
    private static final long SILENCE_MILLIS = 400;

    /** Milliseconds since an endpoint was heard of within which it is taken to be reachable: about one connection's try. */
    private static final long RECENT_MILLIS = 300;

    /** The same for an endpoint in the data centre of one that was lost: engines at work send events more often. */
    private static final long RECENT_NEAR_MILLIS = 80;

    private final TrafficTools tools;
    private final Set<String> checking = new HashSet<>();

    EndpointWatch(TrafficTools tools) {
        this.tools = tools;
    }

    /** Looks once at every endpoint. */
    void look() {
        long nowMillis = tools.nowMillis();
        for (ServiceEndpoint endpoint : tools.view().directory().all()) {
            EndpointHealth health = tools.health().of(endpoint.id(), nowMillis);
            if (health.takeProbe(nowMillis)) {
                check(endpoint, health);
            } else if (silent(endpoint, health, nowMillis)) {
                check(endpoint, health);
            }
        }
    }

    /**
     * Finds out at once, of all endpoints that were not heard of lately, whether they can be reached: where one does not
     * answer to a connection, others may be cut off with it, those of its data centre first.
     *
     * @param lost the endpoint that cannot be reached
     */
    void doubtOthers(ServiceEndpoint lost) {
        long nowMillis = tools.nowMillis();
        for (ServiceEndpoint endpoint : tools.view().directory().all()) {
            EndpointHealth health = tools.health().of(endpoint.id(), nowMillis);
            boolean near = endpoint.dataCentre().equals(lost.dataCentre());
            long recentMillis = near ? RECENT_NEAR_MILLIS : RECENT_MILLIS;
            if (!health.down() && nowMillis - health.heardAtMillis() > recentMillis) {
                health.doubt();
                check(endpoint, health);
            }
        }
    }

    /**
     * Finds out at once whether an endpoint whose answer broke off still takes connections: if it refuses them its process has ended, and
     * nobody waits for it then.
     *
     * @param endpoint the endpoint
     */
    void lookAt(ServiceEndpoint endpoint) {
        check(endpoint, tools.health().of(endpoint.id(), tools.nowMillis()));
    }

    /**
     * Notes that an endpoint cannot be connected to.
     *
     * @param endpoint the endpoint
     * @param failure why
     */
    void unreachable(ServiceEndpoint endpoint, ConnectFailure failure) {
        long nowMillis = tools.nowMillis();
        if (failure.refused()) {
            tools.ends().refused(endpoint, nowMillis);
        }
        if (tools.health().of(endpoint.id(), nowMillis).unreachable(nowMillis)) {
            tools.log().endpointDown(endpoint, failure.cause());
            doubtOthers(endpoint);
        }
    }

    private boolean silent(ServiceEndpoint endpoint, EndpointHealth health, long nowMillis) {
        return !health.down()
                && nowMillis - health.heardAtMillis() > SILENCE_MILLIS
                && tools.exchanges().stream()
                        .anyMatch(exchange -> exchange.waitsLonger(endpoint.id(), SILENCE_MILLIS, nowMillis));
    }

    private void check(ServiceEndpoint endpoint, EndpointHealth health) {
        if (!checking.add(endpoint.id())) {
            return;
        }
        tools.connections().pool(endpoint).open(new ConnectionTaker() {
            @Override
            public void connected(EndpointConnection connection) {
                checking.remove(endpoint.id());
                if (health.down()) {
                    tools.log().endpointBack(endpoint);
                }
                health.connected(tools.nowMillis());
                connection.release();
            }

            @Override
            public void unreachable(ConnectFailure failure) {
                checking.remove(endpoint.id());
                EndpointWatch.this.unreachable(endpoint, failure);
                List<Exchange> waiting = new ArrayList<>(tools.exchanges());
                waiting.stream()
                        .filter(exchange -> exchange.waitsFor(endpoint.id()))
                        .forEach(Exchange::endpointUnreachable);
            }
        });
    }
}
