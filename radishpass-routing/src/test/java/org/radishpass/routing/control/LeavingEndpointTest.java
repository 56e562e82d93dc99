package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Seen: requests reached endpoints 2.2 to 3.1 s after the store had acknowledged that they leave, from routers that could read the
 * store all the while; the bound is 2 s.
 *
 * <p>How: one router reads the list of endpoints for all. The others rely on it as long as they believe that it was read within
 * 1.4 s, and take its list for the newest.
 *
 * <p>Cause: both beliefs outlived their grounds. A message was counted as fresh when it arrived, however long it had lain in a
 * buffer or a frozen process; and a router back from a cut of its own offered a list in which it kept missing endpoints.
 *
 * <p>Proof: either is enough, alone, to make a router that reads nothing itself keep an endpoint beyond the bound.
 */
final class LeavingEndpointTest {
    /** Readings by the first router until all have a list that rests on continuous reading. */
    private static final int WARM_UP_READINGS = 6;

    private static final long READING_PACE_MILLIS = 900;

    private final DirectoryFleet fleet = new DirectoryFleet();
    private final DirectoryFleet.Member first = fleet.router(1);
    private final DirectoryFleet.Member second = fleet.router(2);

    @BeforeEach
    void firstReadsForBoth() {
        fleet.register("a");
        fleet.register("b");
        for (int reading = 0; reading < WARM_UP_READINGS; reading++) {
            fleet.pass(READING_PACE_MILLIS);
            first.reads();
            second.reads();
            second.hears(first.tells());
            first.hears(second.tells());
        }
    }

    @Test
    void aMessageThatLayStillForSecondsMakesNoListYounger() {
        fleet.pass(READING_PACE_MILLIS);
        first.reads();
        DirectoryFleet.News written = first.tells();
        fleet.remove("b");

        fleet.pass(3_000);
        second.hears(written);

        assertThat(second.mustRead()).isTrue();
    }

    @Test
    void aRouterBackFromItsOwnCutDoesNotBringBackWhatOthersKnowIsGone() {
        first.cannotRead();
        for (int reading = 0; reading < 4; reading++) {
            fleet.pass(READING_PACE_MILLIS);
            second.reads();
        }
        first.reads();
        fleet.remove("b");
        fleet.pass(READING_PACE_MILLIS);
        second.reads();
        assertThat(second.sendsTo("b")).isFalse();

        fleet.register("c");
        fleet.pass(10);
        first.reads();
        second.hears(first.tells());

        assertThat(second.sendsTo("b")).isFalse();
        assertThat(second.mustRead()).isTrue();
        fleet.pass(READING_PACE_MILLIS);
        second.reads();
        first.hears(second.tells());
        assertThat(first.sendsTo("b")).isFalse();
    }
}
