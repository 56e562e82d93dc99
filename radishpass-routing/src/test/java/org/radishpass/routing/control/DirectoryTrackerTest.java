package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;

/** Checks what is concluded from readings of a store that fails, lags and forgets. */
final class DirectoryTrackerTest {
    private final DirectoryTracker tracker = new DirectoryTracker();

    @Test
    void anEndpointThatIsMissingIsGone() {
        tracker.listed(1, List.of(endpoint("a"), endpoint("b")), 10_000);
        assertThat(tracker.listed(2, List.of(endpoint("a")), 11_000)).isTrue();
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    @Test
    void absenceMeansNothingWhileTheStoreIsInTroubleNorShortlyAfter() {
        tracker.listed(1, List.of(endpoint("a"), endpoint("b")), 10_000);
        assertThat(tracker.failed()).isTrue();
        assertThat(tracker.failed()).isFalse();
        tracker.listed(5, List.of(endpoint("a")), 20_000);
        tracker.listed(6, List.of(endpoint("a")), 20_000 + DirectoryTracker.GRACE_MILLIS - 1);
        assertThat(tracker.directory().find("b").isPresent()).isTrue();
        tracker.listed(7, List.of(endpoint("a")), 20_000 + DirectoryTracker.GRACE_MILLIS);
        assertThat(tracker.directory().find("b").isPresent()).isFalse();
    }

    @Test
    void anEndpointThatLeavesDoesNotComeBack() {
        tracker.listed(1, List.of(endpoint("a").asLeaving()), 10_000);
        tracker.listed(2, List.of(endpoint("a")), 11_000);
        assertThat(tracker.directory().open("orders")).isEmpty();
    }

    @Test
    void anOlderReadingIsIgnored() {
        tracker.listed(5, List.of(endpoint("a")), 10_000);
        assertThat(tracker.listed(4, List.of(), 11_000)).isFalse();
        assertThat(tracker.directory().size()).isEqualTo(1);
    }

    @Test
    void aPeersListCountsOnlyIfItIsNewer() {
        tracker.listed(5, List.of(endpoint("a")), 10_000);
        assertThat(tracker.peerListed(5, List.of(), 10_500, "peer")).isFalse();
        assertThat(tracker.peerListed(6, List.of(endpoint("a").asLeaving()), 10_500, "peer"))
                .isTrue();
        assertThat(tracker.directory().open("orders")).isEmpty();
    }

    @Test
    void aPeersWordThatNothingHasChangedMakesTheListYounger() {
        tracker.listed(5, List.of(endpoint("a"), endpoint("b")), 10_000);
        DirectoryTracker other = new DirectoryTracker();
        other.listed(6, List.of(endpoint("b"), endpoint("a")), 10_700);
        assertThat(other.hash()).isEqualTo(tracker.hash());

        tracker.confirmed(other.revision(), 10_700, "peer");
        assertThat(tracker.readAtMillis()).isEqualTo(10_700);
        tracker.confirmed(6, 11_000, "peer");
        assertThat(tracker.readAtMillis()).isEqualTo(11_000);
        tracker.confirmed(5, 20_000, "peer");
        assertThat(tracker.readAtMillis()).isEqualTo(11_000);
        other.gone("a");
        assertThat(other.hash()).isNotEqualTo(tracker.hash());
    }

    @Test
    void anAddressThatAnotherStartHasTakenIsUsedNoMore() {
        tracker.listed(5, List.of(endpoint("a")), 10_000);
        assertThat(tracker.gone("a")).isTrue();
        assertThat(tracker.gone("a")).isFalse();
        tracker.listed(6, List.of(endpoint("a")), 11_000);
        assertThat(tracker.directory().open("orders")).isEmpty();
    }

    private static ServiceEndpoint endpoint(String id) {
        return new ServiceEndpoint(id, "orders", new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);
    }
}
