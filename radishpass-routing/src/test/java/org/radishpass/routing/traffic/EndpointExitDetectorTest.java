package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.InProgressRequest;
import org.radishpass.routing.quarantine.RequestFingerprint;

/**
 * Checks when the process of an endpoint is considered to have exited, and which requests are reported as in flight
 * there.
 */
final class EndpointExitDetectorTest {
    private static final ServiceEndpoint ONE = endpoint("one");
    private static final RequestFingerprint FIRST = new RequestFingerprint(1, 1, 1);
    private static final RequestFingerprint SECOND = new RequestFingerprint(1, 1, 2);

    private final List<String> reported = new ArrayList<>();
    private final EndpointExitDetector detector =
            new EndpointExitDetector((endpoint, inFlightRequests, exitedAtMillis) -> inFlightRequests.forEach(request ->
                    reported.add(endpoint.id() + " " + request.request().body() + " " + request.millis())));

    @Test
    void failedResponsesAndARefusedConnectionAreAnExit() {
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_000);
        detector.responseFailed(ONE, new InProgressRequest(SECOND, 2_000), 5_003);
        detector.connectionRefused(ONE, 5_005);
        assertThat(reported).containsExactly("one 1 100", "one 2 2000");
    }

    @Test
    void aFailedResponseAloneIsNoExit() {
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_000);
        assertThat(reported).isEmpty();
    }

    @Test
    void aRefusedConnectionWithoutARecentFailedResponseReportsNoRequest() {
        detector.connectionRefused(ONE, 3_999);
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_000);
        detector.connectionRefused(ONE, 6_001);
        detector.connectionRefused(endpoint("two"), 5_001);
        assertThat(reported).isEmpty();
    }

    @Test
    void aResponseThatFailsAfterTheRefusedConnectionBelongsToTheSameExit() {
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_000);
        detector.connectionRefused(ONE, 5_002);
        detector.responseFailed(ONE, new InProgressRequest(SECOND, 300), 5_010);
        assertThat(reported).containsExactly("one 1 100", "one 2 300").inOrder();
    }

    @Test
    void theFirstResponseMayFailAfterTheRefusedConnection() {
        detector.connectionRefused(ONE, 5_000);
        assertThat(detector.hasExited("one")).isTrue();
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_004);
        assertThat(reported).containsExactly("one 1 100");
    }

    @Test
    void reportsEachRequestOnce() {
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_000);
        detector.connectionRefused(ONE, 5_002);
        detector.connectionRefused(ONE, 5_300);
        assertThat(reported).hasSize(1);
    }

    @Test
    void removesExpiredFailures() {
        detector.responseFailed(ONE, new InProgressRequest(FIRST, 100), 5_000);
        detector.connectionRefused(ONE, 5_002);
        detector.removeExpired(6_100);
        detector.responseFailed(ONE, new InProgressRequest(SECOND, 100), 6_200);
        assertThat(reported).hasSize(1);
    }

    private static ServiceEndpoint endpoint(String id) {
        return new ServiceEndpoint(id, "service", new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);
    }
}
