package org.radishpass.routing.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the expected wait of waiting requests. */
final class WaitEstimateTest {
    private static final double TOLERANCE = 0.5;

    @Test
    void dividesTheRequestsAheadByTheStartsThatNewerArrivalsLeave() {
        WaitEstimate estimate = new WaitEstimate(50, 10, 30, 0, 0, 100);
        assertThat(estimate.waitMillis(10, 0)).isWithin(TOLERANCE).of(1_000);
    }

    /** Guards against refusing requests of a short burst that can be served after it. */
    @Test
    void expectsAnOverloadToLastAsLongAgainAsItHasLasted() {
        WaitEstimate afterASecond = new WaitEstimate(50, 0, 100, 0, 0, 1);
        WaitEstimate afterAMinute = new WaitEstimate(50, 0, 100, 0, 0, 60);
        assertThat(afterASecond.waitMillis(50, 0)).isWithin(TOLERANCE).of(3_000);
        assertThat(afterAMinute.waitMillis(50, 0)).isWithin(TOLERANCE).of(121_000);
    }

    @Test
    void countsStartsThatAreReservedForTheUrgency() {
        WaitEstimate estimate = new WaitEstimate(50, 500, 100, 5, 0, 60);
        assertThat(estimate.waitMillis(5, 0)).isWithin(TOLERANCE).of(1_000);
    }

    /** Guards against refusing a request of an urgency whose next start is already reserved. */
    @Test
    void countsReservedStartsThatHaveNotBeenUsed() {
        assertThat(new WaitEstimate(50, 500, 100, 0.2, 0.5, 2).waitMillis(1, 0))
                .isWithin(TOLERANCE)
                .of(2_500);
        assertThat(new WaitEstimate(50, 500, 100, 0.2, 1, 2).waitMillis(1, 0))
                .isWithin(TOLERANCE)
                .of(0);
    }

    /** Guards against refusing all requests in a long overload, so that the router runs out of work. */
    @Test
    void ignoresNewerArrivalsForRequestsThatStartNext() {
        WaitEstimate estimate = new WaitEstimate(50, 0, 0, 0, 0, 60);
        assertThat(estimate.waitMillis(5, 100)).isWithin(TOLERANCE).of(100);
        assertThat(estimate.waitMillis(6, 100)).isGreaterThan(100_000.0);
    }
}
