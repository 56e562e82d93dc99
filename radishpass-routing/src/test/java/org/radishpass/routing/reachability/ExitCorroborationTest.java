package org.radishpass.routing.reachability;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealthTracker;
import org.radishpass.routing.health.LinkEvidence;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.InFlightTracker;

/**
 * Tests what contradicts the exit of an endpoint. Guards against requests that are held back everywhere because one router
 * has lost its links and counts live endpoints as exited.
 */
final class ExitCorroborationTest {
    private static final long NOW = 10_000;
    private static final ServiceEndpoint ENDPOINT =
            new ServiceEndpoint("one", "service", new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);

    private final EndpointHealthTracker health = new EndpointHealthTracker();
    private final InFlightTracker inFlight = new InFlightTracker();
    private final ExitCorroboration corroboration = new ExitCorroboration(health, inFlight, () -> NOW);

    @Test
    void aRouterThatReachesNothingCannotTellThatAnEndpointHasExited() {
        health.of("one", NOW).unreachable(LinkEvidence.REFUSED, NOW);
        health.of("two", NOW).unreachable(LinkEvidence.REFUSED, NOW);
        assertThat(corroboration.contradiction(ENDPOINT)).isEqualTo(ExitCorroboration.Contradiction.ISOLATED);
    }

    @Test
    void requestsOfOtherRoutersContradictTheExit() {
        health.of("one", NOW).unreachable(LinkEvidence.REFUSED, NOW);
        health.of("two", NOW).connected(NOW);
        inFlight.recordPeerReport("peer", WorkScope.MEMBER, Map.of("one", new InFlight(2, 10)), NOW);
        assertThat(corroboration.contradiction(ENDPOINT)).isEqualTo(ExitCorroboration.Contradiction.REACHED_BY_PEERS);
    }

    @Test
    void anEndpointThatRefusesAndHasNoRequestsOfOthersHasExited() {
        health.of("one", NOW).unreachable(LinkEvidence.REFUSED, NOW);
        health.of("two", NOW).connected(NOW);
        inFlight.started("one", 10);
        assertThat(corroboration.contradiction(ENDPOINT)).isEqualTo(ExitCorroboration.Contradiction.NONE);
    }

    @Test
    void theExitOfTheOnlyEndpointCounts() {
        health.of("one", NOW).unreachable(LinkEvidence.REFUSED, NOW);
        assertThat(corroboration.contradiction(ENDPOINT)).isEqualTo(ExitCorroboration.Contradiction.NONE);
    }
}
