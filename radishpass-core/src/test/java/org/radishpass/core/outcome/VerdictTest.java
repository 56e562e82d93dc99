package org.radishpass.core.outcome;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks what verdicts allow and how they add up. */
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
    void onlyWhatDidNotRunOrDoesNoHarmIsSentAgain(Verdict verdict, boolean idempotent, boolean again) {
        assertThat(verdict.allowsRetry(idempotent)).isEqualTo(again);
    }

    @Property(seed = "47")
    void attemptsTogetherAreNotRunOnlyIfEachWas(@ForAll Verdict one, @ForAll Verdict other) {
        Verdict both = one.and(other);

        assertThat(both == Verdict.NOT_RUN).isEqualTo(one == Verdict.NOT_RUN && other == Verdict.NOT_RUN);
        assertThat(both).isEqualTo(other.and(one));
    }
}
