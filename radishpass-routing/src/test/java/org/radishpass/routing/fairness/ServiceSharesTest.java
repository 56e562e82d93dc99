package org.radishpass.routing.fairness;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ServiceDemand;

/** Checks the decisions of one router. */
final class ServiceSharesTest {
    private static final String SERVICE = "service";
    private static final RequestClass URGENT = new RequestClass("a", 0);
    private static final RequestClass LATER = new RequestClass("a", 2);

    private final FleetObservationTracker tracker = new FleetObservationTracker(now -> FleetObservations.NONE);
    private ServiceLoad load = new ServiceLoad(6, 15, 15);
    private final ServiceShares shares = new ServiceShares(tracker, service -> load, 1);

    /** Guards against decisions that differ from those without shares while no request is refused. */
    @Test
    void admitsEverythingWhileNotContended() {
        reportDemand(0, 1_000, 10);
        shares.refresh(2, 0);
        assertThat(shares.decide(SERVICE, LATER, 0)).isEqualTo(ShareDecision.UNCONTENDED);
        assertThat(shares.millisUntilCapacity(SERVICE, LATER)).isEqualTo(100);
    }

    /** Guards against a router that never admits a request of a class because it sees few of them. */
    @Test
    void admitsTheFractionOfTheArrivalsHoweverFewArrive() {
        contend();
        int admitted = 0;
        for (int request = 0; request < 100; request++) {
            admitted += shares.decide(SERVICE, LATER, 0).admitted() ? 1 : 0;
        }
        double fraction = shares.decide(SERVICE, LATER, 0).fraction();
        assertThat(fraction).isGreaterThan(0.1);
        assertThat(fraction).isLessThan(0.6);
        assertThat((double) admitted).isWithin(1).of(100 * fraction);
        assertThat(shares.decide(SERVICE, URGENT, 0).fraction()).isEqualTo(1);
    }

    /** Guards against refusals while under half of the slots are in use. */
    @Test
    void admitsBeyondTheShareWhileUnderHalfOfTheSlotsAreInUse() {
        contend();
        load = new ServiceLoad(6, 2, 15);
        for (int request = 0; request < 20; request++) {
            assertThat(shares.decide(SERVICE, LATER, 0).admitted()).isTrue();
        }
        load = new ServiceLoad(6, 3, 15);
        assertThat(anyRefused()).isTrue();
    }

    /** Guards against callers that return at once, or long after there is capacity for them. */
    @Test
    void theTimeUntilCapacityGrowsWithTheRefusedPart() {
        contend();
        long untilLater = shares.millisUntilCapacity(SERVICE, LATER);
        double fraction = shares.decide(SERVICE, LATER, 0).fraction();
        assertThat(shares.millisUntilCapacity(SERVICE, URGENT)).isEqualTo(100);
        assertThat((double) untilLater).isWithin(1).of(1_000 * (1 - fraction) / fraction);
    }

    /** Guards against a queue limit above the usual one where the fleet's demand is not known. */
    @Test
    void extendsTheQueueLimitOnlyWithReportsOfPeers() {
        contend();
        assertThat(shares.decide(SERVICE, URGENT, 0).extendsQueueLimit()).isTrue();
        shares.refused(SERVICE, URGENT, 3_500);
        shares.refresh(2, 3_500);
        ShareDecision isolated = shares.decide(SERVICE, URGENT, 3_500);
        assertThat(isolated.ageMillis()).isEqualTo(-1);
        assertThat(isolated.extendsQueueLimit()).isFalse();
    }

    /** Guards against shares that cannot be switched off. */
    @Test
    void disabledSharesAdmitEverything() {
        contend();
        shares.enabled(false);
        shares.refused(SERVICE, LATER, 0);
        shares.refresh(2, 200);
        assertThat(anyRefused()).isFalse();
        assertThat(shares.source().observations(200).isEmpty()).isTrue();
    }

    private boolean anyRefused() {
        boolean refused = false;
        for (int request = 0; request < 20; request++) {
            refused |= !shares.decide(SERVICE, LATER, 0).admitted();
        }
        return refused;
    }

    /** Makes the service contended: of 200 requests/s 100 are completed. */
    private void contend() {
        reportDemand(0, 100, 50);
        shares.refused(SERVICE, LATER, 0);
        shares.refresh(2, 0);
    }

    private void reportDemand(long nowMillis, double arrivedEach, double completedEach) {
        tracker.recordPeerReport(
                "peer",
                WorkScope.MEMBER,
                new FleetObservations(
                        List.of(
                                new ServiceDemand(SERVICE, "a", 0, arrivedEach / 2, 0, completedEach, 0),
                                new ServiceDemand(SERVICE, "a", 2, arrivedEach * 1.5, 0, completedEach, 0)),
                        List.of()),
                nowMillis);
    }
}
