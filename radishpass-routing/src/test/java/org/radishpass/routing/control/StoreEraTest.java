package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.routing.fleet.StorePosition;

/**
 * Checks how a router processes eras reported by the store and by peers, including peers of releases that send none.
 */
final class StoreEraTest {
    private final StoreEra era = new StoreEra();

    @Test
    void firstEraDoesNotCountAsARestore() {
        assertThat(era.observed(4)).isFalse();
        assertThat(era.observed(4)).isFalse();
        assertThat(era.observed(5)).isTrue();
        assertThat(era.observed(4)).isFalse();
        assertThat(era.latest()).isEqualTo(5);
    }

    @Test
    void missingEraMeansTheCurrentOneWhileNoRestoreWasSeen() {
        era.observed(4);
        assertThat(era.resolveSentEra(StorePosition.NO_ERA)).isEqualTo(4);
        assertThat(era.resolveSentEra(3)).isEqualTo(3);
    }

    /** Guards against accepting a list from before a restore that a router of an earlier release still announces. */
    @Test
    void missingEraIsOlderThanAnyEraAfterARestore() {
        era.observed(4);
        era.observed(5);
        EndpointListVersion peerVersion =
                new EndpointListVersion(new StorePosition(StorePosition.NO_ERA, 900), 9_000, true).withResolvedEra(era);
        EndpointListVersion ownVersion = new EndpointListVersion(new StorePosition(5, 3), 1_000, false);
        assertThat(peerVersion.supersedes(ownVersion)).isFalse();
        assertThat(ownVersion.supersedes(peerVersion)).isTrue();
    }

    @Test
    void routerWithoutAListSupersedesNoList() {
        EndpointListVersion none = new EndpointListVersion(new StorePosition(5, -1), StoreClock.UNKNOWN_MILLIS, false);
        assertThat(none.supersedes(new EndpointListVersion(new StorePosition(4, 3), 1_000, false)))
                .isFalse();
    }

    /**
     * Guards against decoding failures during a rolling update, in which earlier releases send no era and later ones
     * may send further fields.
     */
    @Test
    void listsOfEarlierAndLaterReleasesAreDecoded() throws IOException {
        byte[] earlierRelease = new MessagePackMapper().writeValueAsBytes(List.of(7, 9, true, List.of(), List.of()));
        assertThat(EndpointListCodec.decode(earlierRelease).version().position())
                .isEqualTo(new StorePosition(StorePosition.NO_ERA, 7));
        byte[] laterRelease =
                new MessagePackMapper().writeValueAsBytes(List.of(7, 9, true, List.of(), List.of(), 3, "more"));
        assertThat(EndpointListCodec.decode(laterRelease).version().position()).isEqualTo(new StorePosition(3, 7));
    }
}
