package org.radishpass.core.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks what holds when no owner can be asked. */
final class SliverBoundTest {
    private static final LoadBound BOUND = new LoadBound(1.25);

    @Property(tries = 100, seed = "46")
    void allRoutersTogetherStayWithinTheBoundPlusOneRequestEach(
            @ForAll @IntRange(min = 1, max = 64) int routers, @ForAll @IntRange(min = 1, max = 400) int requests) {
        int engines = 8;
        int[][] placed = new int[routers][engines];
        Random random = new Random(routers * 1_000L + requests);
        SliverBound[] slivers = new SliverBound[routers];
        for (int r = 0; r < routers; r++) {
            slivers[r] = new SliverBound();
        }
        for (int i = 0; i < requests; i++) {
            int router = random.nextInt(routers);
            place(slivers[router], placed[router], random.nextInt(2));
        }
        for (int e = 0; e < engines; e++) {
            int sum = 0;
            for (int r = 0; r < routers; r++) {
                sum += placed[r][e];
            }
            assertThat((double) sum).isAtMost(BOUND.multiple() * requests / engines + BOUND.multiple() * routers);
        }
    }

    /** All want the first or second engine; the bound alone pushes them on. */
    private static void place(SliverBound sliver, int[] own, int wanted) {
        int running = 0;
        for (int count : own) {
            running += count;
        }
        PoolLoad part = new PoolLoad(running, own.length);
        for (int k = 0; k < own.length; k++) {
            int engine = (wanted + k) % own.length;
            if (sliver.allows("engine-" + engine, 1, part, BOUND)) {
                sliver.started("engine-" + engine);
                own[engine]++;
                return;
            }
        }
        throw new AssertionError("no engine had room");
    }
}
