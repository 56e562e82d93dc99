package org.radishpass.routing.traffic;

import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.placement.PlacementChoice;

/** What is done next with a request that is at no endpoint. */
sealed interface NextStep {
    /** The end of a request that may outlast this router. */
    NextStep STOPPING = new GiveUp(RefusalCode.NOT_READY, "this router is stopping");

    /**
     * The request is sent to an endpoint.
     *
     * @param choice the endpoint
     */
    record Send(PlacementChoice choice) implements NextStep {}

    /**
     * The request is relayed to another router.
     *
     * @param router the router
     */
    record Relay(FleetRouter router) implements NextStep {}

    /** The request waits for the end of a backoff, or is refused if that would take too long. */
    record AwaitBackoff() implements NextStep {}

    /**
     * The request ends without a further attempt.
     *
     * @param code the reason
     * @param detail a sentence that describes the reason
     */
    record GiveUp(RefusalCode code, String detail) implements NextStep {}
}
