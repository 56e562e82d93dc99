package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that a peer that does not answer does not block fetches from others, and that few peers are asked at once. */
final class PendingFetchesTest {
    private final PendingFetches fetches = new PendingFetches();

    @Test
    void theNextPeerIsAskedAfterADelay() {
        assertThat(fetches.tryBegin("list", "a", 1_000)).isTrue();
        assertThat(fetches.tryBegin("list", "b", 1_000)).isFalse();
        assertThat(fetches.tryBegin("list", "b", 1_000 + PendingFetches.NEXT_PEER_DELAY_MILLIS))
                .isTrue();
        assertThat(fetches.tryBegin("list", "a", 5_000)).isFalse();
    }

    @Test
    void fetchesOfDifferentDocumentsAreIndependent() {
        assertThat(fetches.tryBegin("list", "a", 1_000)).isTrue();
        assertThat(fetches.tryBegin("configuration", "a", 1_000)).isTrue();
    }

    @Test
    void concurrentFetchesOfADocumentAreBounded() {
        for (int number = 0; number < PendingFetches.MAX_CONCURRENT_PEERS; number++) {
            assertThat(fetches.tryBegin("list", "peer" + number, 1_000L * number))
                    .isTrue();
        }
        assertThat(fetches.tryBegin("list", "one more", 60_000)).isFalse();
        fetches.end("list", "peer0");
        assertThat(fetches.tryBegin("list", "one more", 60_000)).isTrue();
    }
}
