package org.radishpass.routing.health;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the end of backoffs and the gradual return of requests to an endpoint after its backoff. */
final class EndpointBackoffsTest {
    private static final String ENDPOINT = "e";

    private final EndpointBackoffs backoffs = new EndpointBackoffs();

    @Test
    void theLatestEndOfOverlappingBackoffsCounts() {
        assertThat(backoffs.rejected(ENDPOINT, 3_000, 0)).isTrue();
        assertThat(backoffs.rejected(ENDPOINT, 1_000, 500)).isFalse();
        assertThat(backoffs.untilMillis(ENDPOINT)).isEqualTo(3_000);
        backoffs.rejected(ENDPOINT, 3_000, 1_000);
        assertThat(backoffs.untilMillis(ENDPOINT)).isEqualTo(4_000);
        assertThat(backoffs.admits(ENDPOINT, 3_999)).isFalse();
        assertThat(backoffs.admits(ENDPOINT, 4_000)).isTrue();
        assertThat(backoffs.count(3_999)).isEqualTo(1);
        assertThat(backoffs.count(4_000)).isEqualTo(0);
    }

    @Test
    void aResponseToAnEarlierRequestDoesNotEndTheBackoff() {
        boolean counted = backoffs.sent(ENDPOINT);
        backoffs.rejected(ENDPOINT, 3_000, 0);
        assertThat(counted).isFalse();
        backoffs.answered(ENDPOINT, true, 100);
        assertThat(backoffs.admits(ENDPOINT, 2_999)).isFalse();
    }

    @Test
    void theWindowDoublesWithEachAcceptedRequest() {
        backoffs.rejected(ENDPOINT, 1_000, 0);
        assertThat(sendAll(1_000)).isEqualTo(1);
        backoffs.answered(ENDPOINT, true, 1_050);
        assertThat(sendAll(1_050)).isEqualTo(2);
        backoffs.answered(ENDPOINT, true, 1_100);
        assertThat(sendAll(1_100)).isEqualTo(3);
        backoffs.answered(ENDPOINT, true, 1_150);
        backoffs.answered(ENDPOINT, true, 1_150);
        assertThat(backoffs.sent(ENDPOINT)).isFalse();
        assertThat(backoffs.admits(ENDPOINT, 1_150)).isTrue();
    }

    @Test
    void anotherRejectionResetsTheWindow() {
        backoffs.rejected(ENDPOINT, 1_000, 0);
        sendAll(1_000);
        backoffs.answered(ENDPOINT, true, 1_050);
        sendAll(1_050);
        backoffs.rejected(ENDPOINT, 1_000, 1_060);
        backoffs.answered(ENDPOINT, false, 1_060);
        backoffs.answered(ENDPOINT, false, 1_070);
        assertThat(backoffs.admits(ENDPOINT, 2_059)).isFalse();
        assertThat(sendAll(2_060)).isEqualTo(1);
    }

    @Test
    void aRequestWithoutAResponseFreesItsPlaceInTheWindow() {
        backoffs.rejected(ENDPOINT, 1_000, 0);
        sendAll(1_000);
        assertThat(backoffs.admits(ENDPOINT, 5_000)).isFalse();
        backoffs.answered(ENDPOINT, false, 5_000);
        assertThat(sendAll(5_000)).isEqualTo(1);
    }

    private int sendAll(long nowMillis) {
        int sent = 0;
        while (backoffs.admits(ENDPOINT, nowMillis)) {
            backoffs.sent(ENDPOINT);
            sent++;
        }
        return sent;
    }
}
