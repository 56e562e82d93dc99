package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Standing;

/** Which endpoints one arrival of a request may be sent to, seen that it may be the kind of request that ends them. */
final class EndpointRisk {
    /** Endpoints at which the answer of one arrival may break off if one of them has ended. */
    private static final int MOST_BROKEN = 2;

    private final TrafficTools tools;
    private final RequestFingerprint request;
    private final String service;
    private final Standing atArrival;
    private final List<String> brokenAt = new ArrayList<>(1);

    EndpointRisk(TrafficTools tools, RequestFingerprint request, String service) {
        this.tools = tools;
        this.request = request;
        this.service = service;
        this.atArrival = standing();
    }

    /** Tells whether it may be sent to an endpoint now. */
    boolean admitted() {
        return standing().admitted();
    }

    /**
     * Tells whether another endpoint may be put at risk with this arrival after its answer broke off, or is late, at one. Mostly the
     * request is innocent, and another one ended its endpoint: so it may, once. Were it tried at each of {@code maxAttempts}
     * endpoints, one arrival ended three before anyone could know.
     */
    boolean mayBeRepeated() {
        boolean enough = brokenAt.size() >= MOST_BROKEN && brokenAt.stream().anyMatch(tools.ends()::hasEnded);
        return atArrival.mayBeRepeated() && !enough;
    }

    /** Notes that it is being sent. */
    void sent() {
        tools.quarantine().sent(request, tools.nowMillis());
    }

    /** Notes that its answer broke off. */
    void brokeAt(ServiceEndpoint endpoint) {
        brokenAt.add(endpoint.id());
    }

    /** Notes that it was answered, and its endpoint lives: it is harmless. */
    void answered() {
        tools.quarantine().answered(request, service, tools.nowMillis());
    }

    private Standing standing() {
        return tools.quarantine().standing(request, service, tools.nowMillis());
    }
}
