package org.radishpass.routing.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the sum of own and peers' work. */
final class InFlightBookTest {
    private final InFlightBook book = new InFlightBook();

    @Test
    void ownWorkAndThatOfPeersAddUp() {
        book.started("a", 100);
        book.peerTold("peer", true, Map.of("a", new InFlight(2, 30), "b", new InFlight(1, 5)), 0);

        assertThat(book.at("a")).isEqualTo(new InFlight(3, 130));
        assertThat(book.at("b")).isEqualTo(new InFlight(1, 5));
        assertThat(book.ownAt("a")).isEqualTo(new InFlight(1, 100));
    }

    @Test
    void whatAPeerTellsReplacesWhatItToldBefore() {
        book.peerTold("peer", true, Map.of("a", new InFlight(2, 30)), 0);
        book.peerTold("peer", true, Map.of("b", new InFlight(1, 5)), 10);

        assertThat(book.at("a")).isEqualTo(InFlight.NONE);
        assertThat(book.at("b")).isEqualTo(new InFlight(1, 5));
    }

    @Test
    void aPeerThatFallsSilentCountsNoLonger() {
        book.peerTold("peer", true, Map.of("a", new InFlight(2, 30)), 0);

        book.forgetSilentPeers(InFlightBook.PEER_MEMORY_MILLIS);
        assertThat(book.at("a").requests()).isEqualTo(2);
        book.forgetSilentPeers(InFlightBook.PEER_MEMORY_MILLIS + 1);
        assertThat(book.at("a")).isEqualTo(InFlight.NONE);
    }

    @Test
    void changesAreTakenOnceAndNameEndpointsThatBecameFree() {
        book.started("a", 1);
        assertThat(book.takeChanges()).containsExactly("a", new InFlight(1, 1));
        assertThat(book.takeChanges()).isEmpty();
        book.ended("a", 1);
        assertThat(book.takeChanges()).containsExactly("a", InFlight.NONE);
        assertThat(book.ownWork()).isEmpty();
    }
}
