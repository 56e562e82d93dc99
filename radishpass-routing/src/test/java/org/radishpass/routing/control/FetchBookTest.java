package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that a peer that does not give a document holds up no other, and that few are asked at once. */
final class FetchBookTest {
    private final FetchBook book = new FetchBook();

    @Test
    void theNextPeerIsAskedAfterAMoment() {
        assertThat(book.begin("list", "a", 1_000)).isTrue();
        assertThat(book.begin("list", "b", 1_000)).isFalse();
        assertThat(book.begin("list", "b", 1_000 + FetchBook.NEXT_PEER_MILLIS)).isTrue();
        assertThat(book.begin("list", "a", 5_000)).isFalse();
    }

    @Test
    void documentsDoNotHoldUpEachOther() {
        assertThat(book.begin("list", "a", 1_000)).isTrue();
        assertThat(book.begin("configuration", "a", 1_000)).isTrue();
    }

    @Test
    void fewPeersAreAskedAtOnce() {
        for (int number = 0; number < FetchBook.MOST_PEERS; number++) {
            assertThat(book.begin("list", "peer" + number, 1_000L * number)).isTrue();
        }
        assertThat(book.begin("list", "one more", 60_000)).isFalse();
        book.end("list", "peer0");
        assertThat(book.begin("list", "one more", 60_000)).isTrue();
    }
}
