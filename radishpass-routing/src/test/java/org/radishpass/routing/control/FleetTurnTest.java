package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.placement.Rendezvous;

/** Checks that what all routers do after a restore of the store comes to it at a bounded rate. */
final class FleetTurnTest {
    private static final int ROUTERS = 370;
    private static final int MILLIS_A_SECOND = 1_000;

    /** Twice the mean rate: turns are drawn, not dealt. */
    private static final int MOST_A_SECOND = 2 * FleetTurn.TURNS_PER_SECOND;

    @Test
    void theFirstByNameDoNotWait() {
        assertThat(FleetTurn.delay(0, ROUTERS, 7, 1).isZero()).isTrue();
        assertThat(FleetTurn.delay(FleetTurn.AT_ONCE - 1, ROUTERS, 7, 1).isZero())
                .isTrue();
    }

    @Test
    void theOthersAreSpreadOverSeconds() {
        List<Long> turns = new ArrayList<>();
        for (int router = FleetTurn.AT_ONCE; router < ROUTERS; router++) {
            turns.add(FleetTurn.delay(router, ROUTERS, Rendezvous.hash("10.0.0." + router), 3)
                    .toMillis());
        }
        for (long from = 0; from < 5L * MILLIS_A_SECOND; from += MILLIS_A_SECOND / 2) {
            long begin = from;
            long within = turns.stream()
                    .filter(turn -> turn >= begin && turn < begin + MILLIS_A_SECOND)
                    .count();
            assertThat(within).isAtMost(MOST_A_SECOND);
        }
    }

    @Test
    void aSmallFleetIsDoneSoon() {
        assertThat(FleetTurn.delay(8, 9, 7, 1).toMillis()).isLessThan(150);
    }
}
