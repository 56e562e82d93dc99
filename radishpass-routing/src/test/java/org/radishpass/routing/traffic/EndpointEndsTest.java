package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.RequestFingerprint;

/** Checks when an endpoint is taken to have ended, and with which requests at work. */
final class EndpointEndsTest {
    private static final ServiceEndpoint ONE = endpoint("one");
    private static final RequestFingerprint FIRST = new RequestFingerprint(1, 1, 1);
    private static final RequestFingerprint SECOND = new RequestFingerprint(1, 1, 2);

    private final List<String> told = new ArrayList<>();
    private final EndpointEnds ends = new EndpointEnds((endpoint, atWork) ->
            atWork.forEach(one -> told.add(endpoint.id() + " " + one.request().body() + " " + one.millis())));

    @Test
    void brokenAnswersAndARefusedConnectionMakeAnEnd() {
        ends.broke(ONE, FIRST, 100, 5_000);
        ends.broke(ONE, SECOND, 2_000, 5_003);
        ends.refused(ONE, 5_005);
        assertThat(told).containsExactly("one 1 100", "one 2 2000");
    }

    @Test
    void anAnswerThatBreaksOffAloneIsNoEnd() {
        ends.broke(ONE, FIRST, 100, 5_000);
        assertThat(told).isEmpty();
    }

    @Test
    void aRefusalWithoutABrokenAnswerOrLongAfterItTellsOfNoRequest() {
        ends.refused(ONE, 3_999);
        ends.broke(ONE, FIRST, 100, 5_000);
        ends.refused(ONE, 6_001);
        ends.refused(endpoint("two"), 5_001);
        assertThat(told).isEmpty();
    }

    @Test
    void anAnswerThatBreaksOffAfterTheRefusalBelongsToTheEndToo() {
        ends.broke(ONE, FIRST, 100, 5_000);
        ends.refused(ONE, 5_002);
        ends.broke(ONE, SECOND, 300, 5_010);
        assertThat(told).containsExactly("one 1 100", "one 2 300").inOrder();
    }

    @Test
    void anAnswerMayBreakOffAfterTheFirstRefusal() {
        ends.refused(ONE, 5_000);
        assertThat(ends.hasEnded("one")).isTrue();
        ends.broke(ONE, FIRST, 100, 5_004);
        assertThat(told).containsExactly("one 1 100");
    }

    @Test
    void eachRequestIsToldOnce() {
        ends.broke(ONE, FIRST, 100, 5_000);
        ends.refused(ONE, 5_002);
        ends.refused(ONE, 5_300);
        assertThat(told).hasSize(1);
    }

    @Test
    void whatIsOldIsForgotten() {
        ends.broke(ONE, FIRST, 100, 5_000);
        ends.refused(ONE, 5_002);
        ends.tidy(6_100);
        ends.broke(ONE, SECOND, 100, 6_200);
        assertThat(told).hasSize(1);
    }

    private static ServiceEndpoint endpoint(String id) {
        return new ServiceEndpoint(id, "service", new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);
    }
}
