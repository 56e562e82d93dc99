package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.quarantine.PromptPartFingerprint;
import org.radishpass.routing.quarantine.QuarantineStatus;
import org.radishpass.routing.quarantine.RequestFingerprint;

/**
 * Checks in virtual time that all routers soon know of a request that crashes its endpoints, including routers that
 * start later.
 */
final class SuspectDistributionTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2, 3);
    private static final PromptPartFingerprint PART = new PromptPartFingerprint(1, 4);
    private static final Duration WARM_UP = Duration.ofSeconds(12);

    /**
     * Interval at which the request is sent to the next endpoint, including the 100 ms after which that endpoint ends.
     */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(120);

    /** A tenth of the time for which the request may still reach endpoints after it has ended three of them. */
    private static final Duration DISTRIBUTION_TIME = Duration.ofMillis(300);

    @ParameterizedTest
    @ValueSource(ints = {9, 60, 370})
    void endsSeenInDifferentDataCentresQuarantineTheRequestOnAllRouters(int count) {
        VirtualFleet fleet = started(count);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(count - 1).suspects().endedUnder(REQUEST, 1);
        fleet.advance(DISTRIBUTION_TIME);
        routers.get(count / 2).suspects().endedUnder(REQUEST, 2);
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(statuses(fleet)).containsExactly(QuarantineStatus.QUARANTINED);

        routers.get(0).suspects().answered(REQUEST);
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(statuses(fleet)).containsExactly(QuarantineStatus.CLEAR);
    }

    /** Guards against a part of prompts that crashes endpoints of routers that do not know of each other's crashes. */
    @ParameterizedTest
    @ValueSource(ints = {9, 60, 370})
    void endsSeenInDifferentDataCentresQuarantineThePromptPartOnAllRouters(int count) {
        VirtualFleet fleet = started(count);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(count - 1).suspects().endedUnder(PART, request(1), 1);
        fleet.advance(DISTRIBUTION_TIME);
        routers.get(count / 2).suspects().endedUnder(PART, request(2), 2);
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(partStatuses(fleet)).containsExactly(QuarantineStatus.SUSPECTED);
        routers.get(count / 3).suspects().endedUnder(PART, request(3), 3);
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(partStatuses(fleet)).containsExactly(QuarantineStatus.QUARANTINED);

        routers.get(0).suspects().answered(PART);
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(partStatuses(fleet)).containsExactly(QuarantineStatus.CLEAR);
    }

    /** After all routers have lost power, only the store still has the quarantine. */
    @Test
    void theQuarantineOfAPromptPartSurvivesARestartOfAllRouters() {
        VirtualFleet fleet = started(9);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        for (int end = 1; end <= 3; end++) {
            routers.get(end).suspects().endedUnder(PART, request(end), end);
            fleet.advance(RESEND_INTERVAL);
        }
        fleet.advance(DISTRIBUTION_TIME);
        fleet.restart(8);
        fleet.advance(Duration.ofSeconds(2));
        assertThat(partStatuses(fleet)).containsExactly(QuarantineStatus.QUARANTINED);
        fleet.restartAll();
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(partStatuses(fleet)).containsExactly(QuarantineStatus.QUARANTINED);
    }

    private static RequestFingerprint request(int number) {
        return new RequestFingerprint(PART.workspace(), 2, number);
    }

    private static List<QuarantineStatus> partStatuses(VirtualFleet fleet) {
        return fleet.routers().stream()
                .map(router -> router.suspects().status(PART, request(0)))
                .distinct()
                .toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 60})
    void aRestartedRouterLearnsOfTheQuarantineFromItsPeers(int count) {
        VirtualFleet fleet = started(count);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(1).suspects().endedUnder(REQUEST, 1);
        fleet.advance(RESEND_INTERVAL);
        routers.get(2).suspects().endedUnder(REQUEST, 2);
        fleet.advance(DISTRIBUTION_TIME);

        fleet.restart(count - 1);
        fleet.advance(Duration.ofSeconds(2));
        assertThat(statuses(fleet)).containsExactly(QuarantineStatus.QUARANTINED);
    }

    /** After all routers have lost power, only the store still has the quarantine. */
    @Test
    void theQuarantineSurvivesARestartOfAllRouters() {
        VirtualFleet fleet = started(9);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(1).suspects().endedUnder(REQUEST, 1);
        fleet.advance(RESEND_INTERVAL);
        routers.get(2).suspects().endedUnder(REQUEST, 2);
        fleet.advance(DISTRIBUTION_TIME);
        fleet.restartAll();
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(statuses(fleet)).containsExactly(QuarantineStatus.QUARANTINED);

        List.copyOf(fleet.routers()).get(4).suspects().answered(REQUEST);
        fleet.advance(DISTRIBUTION_TIME);
        fleet.restartAll();
        fleet.advance(DISTRIBUTION_TIME);
        assertThat(statuses(fleet)).containsExactly(QuarantineStatus.CLEAR);
    }

    private static VirtualFleet started(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.advance(WARM_UP);
        return fleet;
    }

    private static List<QuarantineStatus> statuses(VirtualFleet fleet) {
        return fleet.routers().stream()
                .map(router -> router.suspects().status(REQUEST))
                .distinct()
                .toList();
    }
}
