package org.radishpass.routing.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.radishpass.routing.performance.PlacementMethod;

/** Compares the methods of placement on the same loads of a whole fleet in virtual time. */
final class UnevenFleetTest {
    private static final int ROUTERS = 134;
    private static final int MILLIS = 12_000;
    private static final int SEEDS = 8;
    private static final UnevenFleet.Setup ENGINES = new UnevenFleet.Setup(ROUTERS, slowQuarter(78), 12, 0.9, 300, 0.5);

    /** Load pattern: a plain service of which one of three endpoints is twice as slow. Guards against its queue. */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void aPlainServiceWithASlowEndpointRespondsSooner(PlacementMethod method) {
        UnevenFleet.Setup load = new UnevenFleet.Setup(ROUTERS, new double[] {1, 1, 2}, 6, 0.25, 0, 0.5);
        assertRespondsSooner(load, method, 0.8);
    }

    /**
     * Load pattern: a quarter of many endpoints is twice as slow, and requests are shorter than the age of what routers
     * know of each other. Guards against all routers choosing the same endpoints.
     */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void shortRequestsDoNotGatherAtFastEndpoints(PlacementMethod method) {
        UnevenFleet.Setup load = new UnevenFleet.Setup(ROUTERS, slowQuarter(12), 6, 1.2, 0, 0.5);
        assertRespondsSooner(load, method, 0.9);
    }

    /**
     * Load pattern: a quarter of 78 engines is twice as slow, and slowdowns change ten times a second. Guards against
     * placement that gains nothing from the speeds of engines.
     */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void enginesRespondSooner(PlacementMethod method) {
        UnevenFleet.Result before = run(ENGINES, PlacementMethod.REQUESTS);
        UnevenFleet.Result now = run(ENGINES, method);
        assertThat(now.meanMillis()).isLessThan(before.meanMillis());
        assertThat((double) now.readTokens()).isLessThan(1.25 * before.readTokens());
        assertThat(now.overCap()).isAtMost(before.overCap());
    }

    /** Same load pattern. Guards against speed that is paid for by reading shared parts of prompts again. */
    @Test
    void enginesReadNoMoreTokensThanWhereRequestsAreCounted() {
        long before = 0;
        long now = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            before += new UnevenFleet(ENGINES, PlacementMethod.REQUESTS, seed)
                    .run(MILLIS)
                    .readTokens();
            now += new UnevenFleet(ENGINES, PlacementMethod.TWO_CHOICES, seed)
                    .run(MILLIS)
                    .readTokens();
        }
        assertThat(now).isAtMost(before);
    }

    private static void assertRespondsSooner(UnevenFleet.Setup load, PlacementMethod method, double factor) {
        UnevenFleet.Result before = run(load, PlacementMethod.REQUESTS);
        UnevenFleet.Result now = run(load, method);
        assertThat(now.meanMillis()).isLessThan(factor * before.meanMillis());
        assertThat(now.tailMillis()).isLessThan(factor * before.tailMillis());
        assertThat(now.overCap()).isAtMost(before.overCap());
    }

    private static UnevenFleet.Result run(UnevenFleet.Setup load, PlacementMethod method) {
        return new UnevenFleet(load, method, 1).run(MILLIS);
    }

    private static double[] slowQuarter(int count) {
        double[] slowdowns = new double[count];
        Arrays.setAll(slowdowns, number -> number % 4 == 0 ? 2 : 1);
        return slowdowns;
    }
}
