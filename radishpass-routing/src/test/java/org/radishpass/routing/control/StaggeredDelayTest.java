package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.placement.Rendezvous;

/** Checks that actions of all routers after a restore of the store reach the store at a bounded rate. */
final class StaggeredDelayTest {
    private static final int ROUTERS = 370;
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Twice the mean rate, because pseudo-random delays are not evenly spaced. */
    private static final int MAX_ROUTERS_PER_SECOND = 2 * StaggeredDelay.ROUTERS_PER_SECOND;

    @Test
    void theFirstRoutersByNameAreNotDelayed() {
        assertThat(StaggeredDelay.delay(0, ROUTERS, 7, 1).isZero()).isTrue();
        assertThat(StaggeredDelay.delay(StaggeredDelay.UNDELAYED_ROUTERS - 1, ROUTERS, 7, 1)
                        .isZero())
                .isTrue();
    }

    @Test
    void theOtherRoutersAreSpreadOverTime() {
        List<Long> delays = new ArrayList<>();
        for (int router = StaggeredDelay.UNDELAYED_ROUTERS; router < ROUTERS; router++) {
            delays.add(StaggeredDelay.delay(router, ROUTERS, Rendezvous.hash("10.0.0." + router), 3)
                    .toMillis());
        }
        for (long from = 0; from < 5L * MILLIS_PER_SECOND; from += MILLIS_PER_SECOND / 2) {
            long begin = from;
            long count = delays.stream()
                    .filter(delay -> delay >= begin && delay < begin + MILLIS_PER_SECOND)
                    .count();
            assertThat(count).isAtMost(MAX_ROUTERS_PER_SECOND);
        }
    }

    @Test
    void delaysInASmallFleetAreShort() {
        assertThat(StaggeredDelay.delay(8, 9, 7, 1).toMillis()).isLessThan(150);
    }
}
