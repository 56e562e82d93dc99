package org.radishpass.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Plays engines that reject new requests with Retry-After for six seconds, but for one at a time. Each bound is about half of what seeds 1
 * to 5 showed.
 */
final class SheddingTest {
    private static final int SEEDS = 3;
    private static final double FROM_MILLIS = 30_000;
    private static final double UNTIL_MILLIS = 40_000;

    /** In time 0.992 without the backoff, with it 1.000; it spares three rejections of four. */
    @Test
    void thirtyInAHundredEnginesRejectForThreeSeconds() {
        Deployment deployment = shedding(0.3, 3);
        assertThat(gained(deployment)).isAtLeast(0.003);
        assertThat(rejections(deployment, Policy.BACKOFF)).isAtMost(0.6);
    }

    /** In time 0.846 and 0.999: engines that are left alone do not look empty to everyone. */
    @Test
    void sixtyInAHundredEnginesRejectForThreeSeconds() {
        Deployment deployment = shedding(0.6, 3);
        assertThat(gained(deployment)).isAtLeast(0.07);
        assertThat(rejections(deployment, Policy.BACKOFF)).isAtMost(0.6);
    }

    /** In time 0.846 and 0.937; were all let back at once after each half second, 0.934. */
    @Test
    void sixtyInAHundredEnginesRejectForHalfASecond() {
        Deployment deployment = shedding(0.6, 0.5);
        assertThat(gained(deployment)).isAtLeast(0.04);
        assertThat(mean(deployment, true, Report::rejections))
                .isAtMost(1.05 * meanWithout(deployment, Policy.GRADUAL_RETURN, Report::rejections));
    }

    /** One engine of 13 matters to nobody. */
    @Test
    void oneEngineRejects() {
        assertThat(mean(shedding(0.05, 3), true, Report::inTime)).isAtLeast(0.998);
    }

    private static Deployment shedding(double share, double backoffSeconds) {
        return Deployments.middle()
                .fault(new Fault(Fault.Type.SHED, Deployments.ENGINES, FROM_MILLIS, 6_000, share, backoffSeconds))
                .build();
    }

    private static double gained(Deployment deployment) {
        return mean(deployment, true, Report::inTime) - mean(deployment, false, Report::inTime);
    }

    /** Returns the rejections with all policies, as a part of those without one of them. */
    private static double rejections(Deployment deployment, Policy without) {
        return mean(deployment, true, Report::rejections) / meanWithout(deployment, without, Report::rejections);
    }

    private static double mean(Deployment deployment, boolean backoff, ToDoubleFunction<Report> figure) {
        return backoff
                ? mean(deployment, Policy.all(), figure)
                : mean(deployment, Policy.allBut(Policy.BACKOFF), figure);
    }

    private static double meanWithout(Deployment deployment, Policy without, ToDoubleFunction<Report> figure) {
        return mean(deployment, Policy.allBut(without), figure);
    }

    private static double mean(Deployment deployment, Set<Policy> policies, ToDoubleFunction<Report> figure) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> Simulation.run(deployment, policies, seed, FROM_MILLIS, UNTIL_MILLIS))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }
}
