package org.radishpass.routing.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks what is told to a caller whose refusal is sent some time after the decision. */
final class AdmissionRefusalTest {
    /** Guards against a time to return that callers do not honour, since it exceeds a third of their remaining time. */
    @Test
    void tellsNoMoreThanAThirdOfTheTimeLeft() {
        AdmissionRefusal refusal = refusal(3_000, 1_000);
        assertThat(refusal.sentAt(100).retryAfterMillis()).isEqualTo(900);
        assertThat(refusal.sentAt(1_055).retryAfterMillis()).isEqualTo(10);
        assertThat(refusal(300, 1_000).sentAt(35).retryAfterMillis()).isEqualTo(80);
        assertThat(refusal(300, 1_000).sentAt(35).leftMillis()).isEqualTo(265);
    }

    /** Guards against {@code Retry-After: 0.00}, with which all callers would return at once. */
    @Test
    void neverTellsZero() {
        assertThat(refusal(20, 6).sentAt(0).retryAfterMillis()).isEqualTo(10);
        assertThat(refusal(20, 6).sentAt(500).retryAfterMillis()).isEqualTo(10);
    }

    private static AdmissionRefusal refusal(long leftMillis, long retryAfterMillis) {
        return new AdmissionRefusal(RefusalReason.DEADLINE, 0, 0, 50, 0, 0, leftMillis, retryAfterMillis);
    }
}
