package org.radishpass.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which verdicts allow a retry, and the combined verdict of two attempts. */
final class VerdictTest {
    @ParameterizedTest
    @CsvSource({
        "NOT_RUN, false, true",
        "NOT_RUN, true, true",
        "MAY_HAVE_RUN, false, false",
        "MAY_HAVE_RUN, true, true",
        "RAN, false, false",
        "RAN, true, false",
    })
    void aRetryNeedsARequestThatDidNotRunOrAnIdempotentOneThatMayHaveRun(
            Verdict verdict, boolean idempotent, boolean allowed) {
        assertThat(verdict.allowsRetry(idempotent)).isEqualTo(allowed);
    }

    @Property(seed = "47")
    void aRequestCountsAsNotRunOnlyIfBothAttemptsDo(@ForAll Verdict first, @ForAll Verdict second) {
        Verdict combined = first.combinedWith(second);

        assertThat(combined == Verdict.NOT_RUN).isEqualTo(first == Verdict.NOT_RUN && second == Verdict.NOT_RUN);
        assertThat(combined).isEqualTo(second.combinedWith(first));
    }
}
