package org.radishpass.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Simulates engines that for six seconds reject new requests with Retry-After while they already have more than one
 * run. Each bound is about half of the effect with seeds 1 to 5. The comments of the tests give the effect as the part
 * of the requests that are answered in time.
 */
final class SheddingTest {
    private static final int SEEDS = 3;
    private static final double FROM_MILLIS = 30_000;
    private static final double UNTIL_MILLIS = 40_000;

    /** In time: 0.992 without the backoff, 1.000 with it. The backoff avoids three of four rejections. */
    @Test
    void backoffHelpsWhenThirtyPercentOfEnginesShedWithThreeSecondsRetryAfter() {
        Deployment deployment = deploymentWithShedding(0.3, 3);
        assertThat(inTimeGain(deployment)).isAtLeast(0.003);
        assertThat(rejectionRatio(deployment, Policy.BACKOFF)).isAtMost(0.6);
    }

    /**
     * In time: 0.846 without the backoff, 0.999 with it. Without the backoff, engines that reject requests look idle,
     * so all routers prefer them.
     */
    @Test
    void backoffHelpsWhenSixtyPercentOfEnginesShedWithThreeSecondsRetryAfter() {
        Deployment deployment = deploymentWithShedding(0.6, 3);
        assertThat(inTimeGain(deployment)).isAtLeast(0.07);
        assertThat(rejectionRatio(deployment, Policy.BACKOFF)).isAtMost(0.6);
    }

    /** In time: 0.846 without the backoff, 0.937 with it, and 0.934 with the backoff but without the gradual return. */
    @Test
    void backoffHelpsWhenSixtyPercentOfEnginesShedWithHalfASecondRetryAfter() {
        Deployment deployment = deploymentWithShedding(0.6, 0.5);
        assertThat(inTimeGain(deployment)).isAtLeast(0.04);
        assertThat(mean(deployment, true, Report::rejections))
                .isAtMost(1.05 * meanWithout(deployment, Policy.GRADUAL_RETURN, Report::rejections));
    }

    /** If only one of 13 engines sheds load, almost all requests are still answered in time. */
    @Test
    void almostAllAreInTimeWhenOneEngineSheds() {
        assertThat(mean(deploymentWithShedding(0.05, 3), true, Report::inTime)).isAtLeast(0.998);
    }

    private static Deployment deploymentWithShedding(double share, double backoffSeconds) {
        return Deployments.mediumSize()
                .fault(new Fault(Fault.Type.SHED, Deployments.ENGINES, FROM_MILLIS, 6_000, share, backoffSeconds))
                .build();
    }

    private static double inTimeGain(Deployment deployment) {
        return mean(deployment, true, Report::inTime) - mean(deployment, false, Report::inTime);
    }

    /** Returns the number of rejections with all policies, divided by the number without one of the policies. */
    private static double rejectionRatio(Deployment deployment, Policy without) {
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
