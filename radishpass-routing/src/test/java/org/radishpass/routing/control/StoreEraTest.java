package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.routing.fleet.StorePosition;

/** Checks what a router makes of eras that the store and peers tell, among them peers of releases that tell none. */
final class StoreEraTest {
    private final StoreEra era = new StoreEra();

    @Test
    void theFirstEraIsNoRestore() {
        assertThat(era.told(4)).isFalse();
        assertThat(era.told(4)).isFalse();
        assertThat(era.told(5)).isTrue();
        assertThat(era.told(4)).isFalse();
        assertThat(era.latest()).isEqualTo(5);
    }

    @Test
    void whatIsToldWithoutAnEraIsOfThisOneWhileNoRestoreWasSeen() {
        era.told(4);
        assertThat(era.resolved(StorePosition.NO_ERA)).isEqualTo(4);
        assertThat(era.resolved(3)).isEqualTo(3);
    }

    /** Guards against a list of before a restore that a router of an earlier release goes on to tell of. */
    @Test
    void whatIsToldWithoutAnEraIsOlderThanAnythingAfterARestore() {
        era.told(4);
        era.told(5);
        ListReading told = new ListReading(new StorePosition(StorePosition.NO_ERA, 900), 9_000, true).resolved(era);
        ListReading own = new ListReading(new StorePosition(5, 3), 1_000, false);
        assertThat(told.supersedes(own)).isFalse();
        assertThat(own.supersedes(told)).isTrue();
    }

    @Test
    void aRouterWithoutAListSupersedesNone() {
        ListReading none = new ListReading(new StorePosition(5, -1), StoreClock.NEVER, false);
        assertThat(none.supersedes(new ListReading(new StorePosition(4, 3), 1_000, false)))
                .isFalse();
    }

    /** A rolling update mixes releases: those before tell no era, later ones may tell more. */
    @Test
    void listsOfReleasesBeforeAndAfterAreRead() throws IOException {
        byte[] before = new MessagePackMapper().writeValueAsBytes(List.of(7, 9, true, List.of(), List.of()));
        assertThat(EndpointListCodec.decode(before).reading().position())
                .isEqualTo(new StorePosition(StorePosition.NO_ERA, 7));
        byte[] after = new MessagePackMapper().writeValueAsBytes(List.of(7, 9, true, List.of(), List.of(), 3, "more"));
        assertThat(EndpointListCodec.decode(after).reading().position()).isEqualTo(new StorePosition(3, 7));
    }
}
