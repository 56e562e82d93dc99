package org.radishpass.runtime.transfer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the deadlines of transfers that progress, stall or are too slow. */
final class TransferProgressTest {
    private static final long START = 5_000;

    private final TransferProgress transfer = new TransferProgress(START);

    @Test
    void aTransferWithoutBytesEndsAfterTheStallTimeout() {
        assertThat(transfer.deadlineMillis()).isEqualTo(START + TransferProgress.STALL_TIMEOUT_MILLIS);
    }

    @Test
    void aTransferThatProgressesHasNoOverallTimeout() {
        int seconds = 6;
        for (int second = 0; second < seconds; second++) {
            long nowMillis = START + 500 + second * 1_000L;
            assertThat(transfer.deadlineMillis()).isAtLeast(nowMillis - 500);
            transfer.received(700_000, nowMillis - 400);
            transfer.received(175_000, nowMillis);
        }
        assertThat(transfer.deadlineMillis()).isGreaterThan(START + 6_000);
    }

    @Test
    void aStalledTransferEndsHoweverManyBytesWereReceived() {
        transfer.received(2_000_000, START + 300);

        assertThat(transfer.deadlineMillis()).isEqualTo(START + 300 + TransferProgress.STALL_TIMEOUT_MILLIS);
    }

    @Test
    void aTransferBelowTheMinimumRateIsNotExtended() {
        transfer.received(1, START + 700);

        assertThat(transfer.deadlineMillis()).isEqualTo(START + TransferProgress.STALL_TIMEOUT_MILLIS);
    }
}
