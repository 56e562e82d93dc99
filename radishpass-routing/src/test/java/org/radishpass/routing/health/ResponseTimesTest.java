package org.radishpass.routing.health;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limit on the time until a response begins, and its dependence on the earlier responses of the route. */
final class ResponseTimesTest {
    private final ResponseTimes responseTimes = new ResponseTimes();

    @Test
    void thereIsNoLimitUntilEnoughResponsesHaveArrived() {
        note("chat", 60, 19);
        assertThat(responseTimes.slowThresholdMillis("chat")).isEqualTo(ResponseTimes.UNKNOWN);
        assertThat(responseTimes.secondAttemptMillis("chat", 400)).isEqualTo(ResponseTimes.UNKNOWN);
        note("chat", 60, 1);
        assertThat(responseTimes.slowThresholdMillis("chat")).isLessThan(300L);
    }

    @Test
    void theLimitIsFourTimesTheMedianOfTheRoute() {
        note("chat", 60, 100);
        note("order", 90, 100);
        assertThat((double) responseTimes.slowThresholdMillis("chat"))
                .isWithin(20)
                .of(240);
        assertThat((double) responseTimes.slowThresholdMillis("order"))
                .isWithin(30)
                .of(360);
    }

    @Test
    void theLimitChangesLittleAfterTheFirstSlowResponsesOfAThirdOfTheEndpoints() {
        note("chat", 60, 100);
        for (int round = 0; round < 4; round++) {
            note("chat", 60, 7);
            note("chat", 480, 3);
        }
        assertThat(responseTimes.slowThresholdMillis("chat")).isLessThan(400L);
    }

    @Test
    void theLimitExceedsTheTimeOfLongPromptsWhenTheyAreATenthOfTheRequests() {
        for (int round = 0; round < 100; round++) {
            note("mixed", 60, 9);
            note("mixed", 700, 1);
        }
        assertThat(responseTimes.slowThresholdMillis("mixed")).isGreaterThan(1_000L);
    }

    @Test
    void theLimitRisesWithAServiceThatBecomesSlowerAsAWhole() {
        note("chat", 60, 100);
        note("chat", 240, 80);
        assertThat(responseTimes.slowThresholdMillis("chat")).isGreaterThan(800L);
    }

    @Test
    void theLimitIsNeverBelowAPauseOfTheRouterProcess() {
        note("quick", 2, 100);
        assertThat(responseTimes.slowThresholdMillis("quick")).isEqualTo(100);
    }

    @Test
    void aSecondTryWaitsForAtLeastHalfOfTheLatencyTarget() {
        note("chat", 60, 100);
        assertThat(responseTimes.secondAttemptMillis("chat", 800)).isEqualTo(400);
        assertThat(responseTimes.secondAttemptMillis("chat", 100)).isEqualTo(responseTimes.slowThresholdMillis("chat"));
    }

    private void note(String route, double millis, int times) {
        for (int time = 0; time < times; time++) {
            responseTimes.record(route, millis);
        }
    }
}
