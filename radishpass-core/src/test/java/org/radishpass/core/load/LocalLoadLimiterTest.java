package org.radishpass.core.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks the load bound that each router applies to its own requests when no owner can be reached. */
final class LocalLoadLimiterTest {
    private static final LoadBound BOUND = new LoadBound(1.25);

    @Property(tries = 100, seed = "46")
    void allRoutersTogetherExceedTheBoundByAtMostTheMultiplePerRouter(
            @ForAll @IntRange(min = 1, max = 64) int routers, @ForAll @IntRange(min = 1, max = 400) int requests) {
        int engines = 8;
        int[][] placed = new int[routers][engines];
        Random random = new Random(routers * 1_000L + requests);
        LocalLoadLimiter[] limiters = new LocalLoadLimiter[routers];
        for (int r = 0; r < routers; r++) {
            limiters[r] = new LocalLoadLimiter();
        }
        for (int i = 0; i < requests; i++) {
            int router = random.nextInt(routers);
            place(limiters[router], placed[router], random.nextInt(2));
        }
        for (int e = 0; e < engines; e++) {
            int sum = 0;
            for (int r = 0; r < routers; r++) {
                sum += placed[r][e];
            }
            assertThat((double) sum).isAtMost(BOUND.multiple() * requests / engines + BOUND.multiple() * routers);
        }
    }

    /** Places a request at the preferred engine, or at the next engine whose load bound allows it. */
    private static void place(LocalLoadLimiter limiter, int[] placedByRouter, int preferred) {
        int running = 0;
        for (int count : placedByRouter) {
            running += count;
        }
        PoolLoad part = new PoolLoad(running, placedByRouter.length);
        for (int k = 0; k < placedByRouter.length; k++) {
            int engine = (preferred + k) % placedByRouter.length;
            if (limiter.allows("engine-" + engine, 1, part, BOUND)) {
                limiter.started("engine-" + engine);
                placedByRouter[engine]++;
                return;
            }
        }
        throw new AssertionError("no engine had room");
    }
}
