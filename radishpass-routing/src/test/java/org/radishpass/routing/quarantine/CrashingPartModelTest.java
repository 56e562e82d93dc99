package org.radishpass.routing.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the bounds of the quarantine of prompt parts for fleets of several sizes: few requests with a crashing part are
 * sent once it must be known, and few sound requests are refused, whether or not engines also exit on their own.
 */
final class CrashingPartModelTest {
    private static final int SEEDS = 5;
    private static final int MAX_LATE_SENDS = 3;
    private static final double MAX_REFUSED_FRACTION = 0.0001;

    @ParameterizedTest
    @CsvSource({"9, 1, 0", "9, 6, 0", "9, 50, 0", "63, 6, 0", "370, 6, 0", "370, 50, 0", "9, 6, 1", "63, 6, 1"})
    void fewRequestsWithACrashingPartAreSentOnceItIsKnown(int routers, double perSecond, double ownExitsPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashingPartModel.Result result =
                    new CrashingPartModel(seed, routers, 60, perSecond, ownExitsPerSecond).run();
            assertWithMessage("seed %s: %s", seed, result)
                    .that(result.lateSends())
                    .isAtMost(MAX_LATE_SENDS);
        }
    }

    @ParameterizedTest
    @CsvSource({"9, 0, 1", "63, 0, 1", "370, 0, 1", "9, 6, 0", "63, 6, 0", "370, 6, 0", "9, 6, 1", "63, 6, 1"})
    void fewSoundRequestsAreRefused(int routers, double perSecond, double ownExitsPerSecond) {
        int sound = 0;
        int refused = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashingPartModel.Result result =
                    new CrashingPartModel(seed, routers, 60, perSecond, ownExitsPerSecond).run();
            sound += result.sound();
            refused += result.refused();
        }
        assertWithMessage("refused of %s", sound).that((double) refused / sound).isLessThan(MAX_REFUSED_FRACTION);
    }
}
