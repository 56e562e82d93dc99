package org.radishpass.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;

/** Checks which endpoints a router considers open to requests after lists and reports. */
final class FleetDirectoryTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final String POOL = "model@1";

    private final FleetDirectory directory = new FleetDirectory();

    @Test
    void anEndpointAcceptsRequestsOnceItHasReportedReady() {
        directory.applyVmList(List.of(engine("a", "1", false)), NOW);
        assertThat(openEndpointIds()).isEmpty();

        directory.applyReport(report("a", "1", 1, EndpointState.READY), NOW);

        assertThat(openEndpointIds()).containsExactly("a");
    }

    @Test
    void anEmptyListChangesNothing() {
        addReadyEngine("a");

        directory.applyVmList(List.of(), NOW.plusSeconds(60));

        assertThat(openEndpointIds()).containsExactly("a");
    }

    @Test
    void anUnlistedEndpointThatStillAnswersIsKept() {
        addReadyEngine("a");
        addReadyEngine("b");
        directory.applyReport(report("a", "1", 2, EndpointState.READY), NOW.plusSeconds(14));

        directory.applyVmList(List.of(engine("b", "1", false)), NOW.plusSeconds(20));

        assertThat(openEndpointIds()).containsExactly("a", "b");
    }

    @Test
    void anUnlistedEndpointThatDoesNotAnswerIsRemoved() {
        addReadyEngine("a");
        addReadyEngine("b");

        directory.applyVmList(List.of(engine("b", "1", false)), NOW.plus(FleetDirectory.RETENTION));

        assertThat(openEndpointIds()).containsExactly("b");
    }

    @Test
    void leavingLastsUntilTheEndOfTheIncarnation() {
        addReadyEngine("a");
        directory.applyVmList(List.of(engine("a", "1", true)), NOW);
        directory.applyVmList(List.of(engine("a", "1", false)), NOW);
        directory.applyReport(report("a", "1", 9, EndpointState.READY), NOW);
        assertThat(openEndpointIds()).isEmpty();

        directory.applyVmList(List.of(engine("a", "2", false)), NOW);
        directory.applyReport(report("a", "2", 1, EndpointState.READY), NOW);

        assertThat(openEndpointIds()).containsExactly("a");
    }

    @Test
    void anOlderReportNeverReplacesANewerOne() {
        directory.applyVmList(List.of(engine("a", "1", false)), NOW);
        directory.applyReport(report("a", "1", 5, EndpointState.READY), NOW);

        boolean changed = directory.applyReport(report("a", "1", 4, EndpointState.ASLEEP), NOW);

        assertThat(changed).isFalse();
        assertThat(openEndpointIds()).containsExactly("a");
    }

    @Test
    void aReportOfAnEarlierIncarnationIsIgnored() {
        directory.applyVmList(List.of(engine("a", "2", false)), NOW);
        directory.applyReport(report("a", "2", 1, EndpointState.READY), NOW);

        directory.applyReport(report("a", "1", 99, EndpointState.LEAVING), NOW);

        assertThat(openEndpointIds()).containsExactly("a");
    }

    @Test
    void aSuspectedEndpointIsExcluded() {
        addReadyEngine("a");
        addReadyEngine("b");
        addReadyEngine("c");

        directory.applyReport(report("a", "1", 2, EndpointState.SUSPECT), NOW);

        assertThat(openEndpointIds()).containsExactly("b", "c");
    }

    @Test
    void suspectedEndpointsStayOpenIfMostOfThePoolIsSuspected() {
        addReadyEngine("a");
        addReadyEngine("b");
        addReadyEngine("c");

        directory.applyReport(report("a", "1", 2, EndpointState.SUSPECT), NOW);
        directory.applyReport(report("b", "1", 2, EndpointState.SUSPECT), NOW);

        assertThat(openEndpointIds()).containsExactly("a", "b", "c");
    }

    private void addReadyEngine(String id) {
        directory.applyVmList(List.of(engine(id, "1", false)), NOW);
        directory.applyReport(report(id, "1", 1, EndpointState.READY), NOW);
    }

    private List<String> openEndpointIds() {
        return directory.view().acceptingEndpoints(POOL).stream()
                .map(Endpoint::id)
                .toList();
    }

    private static VmListing engine(String id, String incarnation, boolean leaving) {
        return new VmListing(
                id, incarnation, VmKind.ENGINE, new DataCentre("here"), new Address("127.0.0.1", 1), leaving);
    }

    private static EndpointReport report(String id, String incarnation, long sequence, EndpointState state) {
        return new EndpointReport(id, incarnation, sequence, state, Set.of(POOL), 0, 32);
    }
}
