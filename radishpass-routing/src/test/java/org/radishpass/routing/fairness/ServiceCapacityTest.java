package org.radishpass.routing.fairness;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the estimate of what a service completes, for one endpoint of 6 slots. */
final class ServiceCapacityTest {
    private static final ServiceLoad AT_TARGET = new ServiceLoad(10, 16, 20);

    private final ServiceCapacity capacity = new ServiceCapacity();

    /** Guards against a second in which the shares ignore that an endpoint was added or lost. */
    @Test
    void followsTheSlotsAtOnce() {
        capacity.sample(AT_TARGET, 0);
        assertThat(capacity.update(200, 100, false, 0)).isWithin(1e-6).of(100);
        capacity.sample(new ServiceLoad(5, 8, 10), 100);
        assertThat(capacity.update(200, 100, false, 100)).isLessThan(65);
        capacity.sample(new ServiceLoad(10, 16, 20), 200);
        assertThat(capacity.update(200, 100, false, 200)).isGreaterThan(90);
    }

    /** Guards against slots that stay unused, and against a queue that stays long. */
    @Test
    void freeSlotsRaiseTheEstimateAndAQueueLowersIt() {
        capacity.sample(new ServiceLoad(10, 4, 20), 0);
        assertThat(capacity.update(200, 100, false, 0)).isWithin(1e-6).of(112);
        ServiceCapacity queued = new ServiceCapacity();
        queued.sample(new ServiceLoad(10, 30, 20), 0);
        assertThat(queued.update(200, 100, false, 0)).isWithin(1e-6).of(86);
    }

    /** Guards against a capacity that is lost without a change of the slots, for example because endpoints are slow. */
    @Test
    void followsFewerCompletionsOnlyWhileAllSlotsAreInUse() {
        capacity.sample(AT_TARGET, 0);
        capacity.update(200, 100, false, 0);
        for (long millis = 200; millis <= 14_000; millis += 200) {
            capacity.sample(new ServiceLoad(10, 16, 20), millis);
            capacity.update(200, 50, false, millis);
        }
        assertThat(capacity.update(200, 50, false, 14_000)).isLessThan(55);

        ServiceCapacity idle = new ServiceCapacity();
        idle.sample(new ServiceLoad(10, 10, 20), 0);
        idle.update(200, 100, false, 0);
        idle.sample(new ServiceLoad(10, 10, 20), 3_000);
        assertThat(idle.update(200, 50, false, 3_000)).isAtLeast(100);
    }

    /** Guards against endpoints that reject requests again and again. */
    @Test
    void rejectionsLowerTheEstimateForAFewSeconds() {
        capacity.sample(AT_TARGET, 0);
        capacity.rejected(1_000);
        capacity.rejected(1_100);
        assertThat(capacity.update(200, 100, false, 1_100)).isWithin(1e-6).of(90);
        capacity.sample(AT_TARGET, 2_100);
        assertThat(capacity.update(200, 100, false, 2_100)).isWithin(1e-6).of(100);
    }

    /** Guards against each half of a fleet using the whole capacity. */
    @Test
    void routersThatAreMissingFromTheSumsTakeTheirPartOfTheCapacityAway() {
        capacity.sample(AT_TARGET, 0);
        capacity.update(200, 100, false, 0);
        assertThat(capacity.update(100, 50, false, 200)).isWithin(1e-6).of(50);
    }

    /** Guards against a router without reports that takes free slots which others use, or gives up all it had. */
    @Test
    void aRouterWithoutReportsKeepsToWhatItCompletes() {
        capacity.sample(new ServiceLoad(10, 0, 20), 0);
        assertThat(capacity.update(3, 1.5, true, 0)).isWithin(1e-6).of(1.575);
    }
}
