package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.StorePositions.at;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/** Checks the endpoint list that results from reads of a store that fails, responds late and loses entries. */
final class DirectoryTrackerTest {
    private final DirectoryTracker tracker = new DirectoryTracker();

    @Test
    void missingEndpointIsRemoved() {
        listed(tracker, 1, List.of(endpoint("a"), endpoint("b")), 10_000);
        assertThat(listed(tracker, 2, List.of(endpoint("a")), 11_000)).isTrue();
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    @Test
    void missingEndpointIsRetainedUntilTheStoreHasBeenReadForTheGracePeriod() {
        listed(tracker, 1, List.of(endpoint("a"), endpoint("b")), 10_000);
        assertThat(tracker.noteReadFailure(ReadFailure.STORE_UNAVAILABLE, 11_000))
                .isTrue();
        assertThat(tracker.noteReadFailure(ReadFailure.STORE_UNAVAILABLE, 12_000))
                .isFalse();
        listed(tracker, 5, List.of(endpoint("a")), 20_000);
        listed(tracker, 6, List.of(endpoint("a")), 20_000 + ReadContinuity.ABSENCE_GRACE_MILLIS - 1);
        assertThat(tracker.directory().find("b").isPresent()).isTrue();
        listed(tracker, 7, List.of(endpoint("a")), 20_000 + ReadContinuity.ABSENCE_GRACE_MILLIS);
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    @Test
    void leavingEndpointNeverBecomesAvailableAgain() {
        listed(tracker, 1, List.of(endpoint("a").asLeaving()), 10_000);
        listed(tracker, 2, List.of(endpoint("a")), 11_000);
        assertThat(tracker.directory().accepting("orders")).isEmpty();
    }

    @Test
    void olderReadIsIgnored() {
        listed(tracker, 5, List.of(endpoint("a")), 10_000);
        assertThat(listed(tracker, 4, List.of(), 11_000)).isFalse();
        assertThat(tracker.directory().size()).isEqualTo(1);
    }

    /** Guards against a list that is not updated until the revisions of a restored store have caught up. */
    @Test
    void eraTakesPrecedenceOverRevision() {
        listed(tracker, 5, List.of(endpoint("a")), 10_000);
        assertThat(listed(
                        tracker, new StorePosition(2, 3), List.of(endpoint("a").asLeaving()), 11_000))
                .isTrue();
        assertThat(tracker.directory().accepting("orders")).isEmpty();
        assertThat(listed(tracker, 9, List.of(endpoint("b")), 12_000)).isFalse();
        assertThat(listed(tracker, new StorePosition(2, 2), List.of(endpoint("b")), 12_000))
                .isFalse();
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
        assertThat(tracker.useOfRead(at(9))).isEqualTo(ReadUse.EARLIER_ERA);
        assertThat(tracker.useOfRead(new StorePosition(2, 2))).isEqualTo(ReadUse.EARLIER_REVISION);
    }

    /**
     * Guards against removing endpoints that a snapshot lacks although they register again shortly after the restore.
     */
    @Test
    void missingEndpointIsRetainedShortlyAfterARestore() {
        settle(List.of(endpoint("a"), endpoint("b")));
        listed(tracker, new StorePosition(2, 3), List.of(endpoint("a")), 13_000);
        assertThat(tracker.listVersion().settled()).isFalse();
        assertThat(tracker.directory().find("b").isPresent()).isTrue();
        listed(tracker, new StorePosition(2, 3), List.of(endpoint("a")), 13_000 + ReadContinuity.ABSENCE_GRACE_MILLIS);
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    /**
     * Guards against keeping a settled list from before a restore because the peer's new list still retains missing
     * endpoints.
     */
    @Test
    void peersListOfALaterEraReplacesASettledList() {
        settle(List.of(endpoint("a"), endpoint("b")));
        EndpointSnapshot restored = new EndpointSnapshot(
                new EndpointListVersion(new StorePosition(2, 3), 12_600, false),
                List.of(endpoint("a").asLeaving()),
                Set.of());
        assertThat(tracker.applyPeerList(restored, 12_600, "peer")).isTrue();
        assertThat(tracker.directory().find("b").isPresent()).isTrue();
        assertThat(tracker.directory().accepting("orders")).containsExactly(endpoint("b"));

        EndpointSnapshot earlier =
                new EndpointSnapshot(new EndpointListVersion(at(9), 12_700, true), List.of(endpoint("c")), Set.of());
        assertThat(tracker.applyPeerList(earlier, 12_700, "peer")).isFalse();
    }

    /** Guards against removing missing endpoints at once because this router had relied on a peer until the restore. */
    @Test
    void routerThatStartsReadingAfterARestoreRetainsMissingEndpointsAsLongAsItsPeer() {
        listed(tracker, 5, List.of(endpoint("a"), endpoint("b")), 10_000);
        tracker.confirmedByPeer(new EndpointListVersion(at(5), 12_500, true), 12_500, "peer");
        tracker.confirmedByPeer(new EndpointListVersion(new StorePosition(2, 3), 13_000, false), 13_000, "peer");
        listed(tracker, new StorePosition(2, 3), List.of(endpoint("a")), 14_000);
        assertThat(tracker.directory().find("b").isPresent()).isTrue();
        listed(tracker, new StorePosition(2, 3), List.of(endpoint("a")), 13_000 + ReadContinuity.ABSENCE_GRACE_MILLIS);
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    @Test
    void peersListIsAppliedOnlyIfItIsNewer() {
        listed(tracker, 5, List.of(endpoint("a")), 10_000);
        assertThat(peerListed(5, List.of(), 10_500)).isFalse();
        assertThat(peerListed(6, List.of(endpoint("a").asLeaving()), 10_500)).isTrue();
        assertThat(tracker.directory().accepting("orders")).isEmpty();
    }

    @Test
    void peersConfirmationRenewsTheReadTime() {
        listed(tracker, 5, List.of(endpoint("a"), endpoint("b")), 10_000);
        DirectoryTracker other = new DirectoryTracker();
        listed(other, 6, List.of(endpoint("b"), endpoint("a")), 10_700);
        assertThat(other.hash()).isEqualTo(tracker.hash());

        tracker.confirmedByPeer(other.listVersion(), 10_700, "peer");
        assertThat(tracker.readAtMillis()).isEqualTo(10_700);
        tracker.confirmedByPeer(new EndpointListVersion(at(6), 11_000, false), 11_000, "peer");
        assertThat(tracker.readAtMillis()).isEqualTo(11_000);
        tracker.confirmedByPeer(new EndpointListVersion(at(5), 10_900, false), 20_000, "peer");
        assertThat(tracker.readAtMillis()).isEqualTo(11_000);
        other.addressTakenOver("a");
        assertThat(other.hash()).isNotEqualTo(tracker.hash());
    }

    @Test
    void missingEndpointIsRemovedAfterAShortStoreFailure() {
        listed(tracker, 1, List.of(endpoint("a"), endpoint("b")), 10_000);
        tracker.noteReadFailure(ReadFailure.STORE_UNAVAILABLE, 10_500);
        listed(tracker, 2, List.of(endpoint("a")), 10_000 + ReadContinuity.MAX_CONTINUOUS_GAP_MILLIS);
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    /** Guards against keeping endpoints that are gone because a response that could not be processed passed for an outage. */
    @Test
    void missingEndpointIsRemovedAfterResponsesThatCouldNotBeProcessed() {
        listed(tracker, 1, List.of(endpoint("a"), endpoint("b")), 10_000);
        for (long askedAtMillis = 11_000; askedAtMillis < 20_000; askedAtMillis += 1_000) {
            tracker.noteReadFailure(ReadFailure.PROCESSING, askedAtMillis);
        }
        listed(tracker, 2, List.of(endpoint("a")), 20_000);
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    /** Guards against an unusable entry that takes away the sound endpoint of the same name. */
    @Test
    void unusableEntryDoesNotRemoveTheEndpointThatASoundEntryLists() {
        listed(tracker, 1, List.of(endpoint("a").withColdUntil(500)), 10_000);
        tracker.applyOwnRead(
                new DirectoryReadResult.Listed(
                        at(2),
                        11_000,
                        List.of(endpoint("a").withColdUntil(501)),
                        List.of(new UnusableEntry("a", EntryFault.NAME, "key is a JSON number"))),
                11_000);
        assertThat(tracker.directory().find("a").orElseThrow().coldUntilStoreMillis())
                .isEqualTo(500);
    }

    @Test
    void listIsSettledOnceTheStoreWasReadForTheGracePeriod() {
        listed(tracker, 1, List.of(endpoint("a")), 10_000);
        assertThat(tracker.listVersion().settled()).isFalse();
        listed(tracker, 1, List.of(endpoint("a")), 11_500);
        listed(tracker, 1, List.of(endpoint("a")), 10_000 + ReadContinuity.ABSENCE_GRACE_MILLIS);
        assertThat(tracker.listVersion().settled()).isTrue();
        listed(tracker, 1, List.of(endpoint("a")), 20_000);
        assertThat(tracker.listVersion().settled()).isFalse();
    }

    @Test
    void settledListReplacesAnUnsettledOneAtTheSameRevision() {
        listed(tracker, 5, List.of(endpoint("a"), endpoint("b")), 10_000);
        listed(tracker, 6, List.of(endpoint("a")), 20_000);
        assertThat(tracker.directory().find("b").isPresent()).isTrue();
        EndpointSnapshot settled =
                new EndpointSnapshot(new EndpointListVersion(at(6), 20_100, true), List.of(endpoint("a")), Set.of());
        assertThat(tracker.applyPeerList(settled, 20_100, "peer")).isTrue();
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
        EndpointSnapshot unsettled = new EndpointSnapshot(
                new EndpointListVersion(at(7), 20_200, false), List.of(endpoint("a"), endpoint("b")), Set.of());
        assertThat(tracker.applyPeerList(unsettled, 20_200, "peer")).isFalse();
    }

    @Test
    void endpointWhoseAddressWasTakenOverReceivesNoRequests() {
        listed(tracker, 5, List.of(endpoint("a")), 10_000);
        assertThat(tracker.addressTakenOver("a")).isTrue();
        assertThat(tracker.addressTakenOver("a")).isFalse();
        listed(tracker, 6, List.of(endpoint("a")), 11_000);
        assertThat(tracker.directory().accepting("orders")).isEmpty();
    }

    /** Applies a read; the store's clock shows the same time as the router's clock. */
    private static boolean listed(
            DirectoryTracker tracker, long revision, List<ServiceEndpoint> endpoints, long nowMillis) {
        return listed(tracker, at(revision), endpoints, nowMillis);
    }

    private void settle(List<ServiceEndpoint> endpoints) {
        for (long millis = 10_000; millis <= 12_500; millis += 500) {
            listed(tracker, 5, endpoints, millis);
        }
        assertThat(tracker.listVersion().settled()).isTrue();
    }

    private static boolean listed(
            DirectoryTracker tracker, StorePosition position, List<ServiceEndpoint> endpoints, long nowMillis) {
        return tracker.applyOwnRead(
                new DirectoryReadResult.Listed(position, nowMillis, endpoints, List.of()), nowMillis);
    }

    private boolean peerListed(long revision, List<ServiceEndpoint> endpoints, long readAtMillis) {
        EndpointListVersion version =
                new EndpointListVersion(at(revision), revision == 5 ? 10_000 : readAtMillis, false);
        return tracker.applyPeerList(new EndpointSnapshot(version, endpoints, Set.of()), readAtMillis, "peer");
    }

    private static ServiceEndpoint endpoint(String id) {
        return new ServiceEndpoint(id, "orders", new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);
    }
}
