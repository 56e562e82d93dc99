package org.radishpass.routing.fairness;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.report.ServiceDemand;

/** Checks how the capacity of a service is divided. */
final class ShareAllocationTest {
    private static final double TOLERANCE = 1e-5;

    /** Guards against refusals while the capacity suffices. */
    @Test
    void allDemandIsAllocatedIfTheCapacitySuffices() {
        ShareAllocation allocation = allocate(100, demand("a", 0, 30), demand("b", 5, 70));
        assertThat(fraction(allocation, "a", 0)).isWithin(TOLERANCE).of(1);
        assertThat(fraction(allocation, "b", 5)).isWithin(TOLERANCE).of(1);
    }

    /** Guards against a kind of request that is served worse than a less urgent one, or not at all. */
    @Test
    void moreUrgentRequestsComeFirstAndNoneIsStarved() {
        ShareAllocation allocation = allocate(100, demand("a", 0, 60), demand("a", 1, 80), demand("a", 2, 60));
        double minimum = ShareAllocation.MIN_RELATIVE_SHARE * 0.5;
        assertThat(fraction(allocation, "a", 0)).isWithin(TOLERANCE).of(1);
        assertThat(fraction(allocation, "a", 2)).isWithin(TOLERANCE).of(minimum);
        assertThat(fraction(allocation, "a", 1)).isWithin(TOLERANCE).of((100 - 60 - 60 * minimum) / 80);
    }

    /** Guards against a workspace that gains by asking for more, and against unused capacity. */
    @Test
    void workspacesOfEqualUrgencyGetEqualPartsAndLeaveWhatTheyDoNotUse() {
        ShareAllocation allocation = allocate(100, demand("small", 0, 10), demand("b", 0, 80), demand("c", 0, 60));
        assertThat(fraction(allocation, "small", 0)).isWithin(TOLERANCE).of(1);
        assertThat(fraction(allocation, "b", 0) * 80).isWithin(TOLERANCE).of(45);
        assertThat(fraction(allocation, "c", 0) * 60).isWithin(TOLERANCE).of(45);
    }

    /** Guards against starving a workspace whose equal part is a small fraction of its demand. */
    @Test
    void aWorkspaceWithExcessiveDemandKeepsTheMinimum() {
        ServiceDemand[] demand = new ServiceDemand[11];
        Arrays.setAll(demand, index -> demand("w" + index, 0, index == 0 ? 1_000 : 50));
        ShareAllocation allocation = allocate(300, demand);
        double minimum = ShareAllocation.MIN_RELATIVE_SHARE * 300 / 1_500;
        assertThat(fraction(allocation, "w0", 0)).isWithin(TOLERANCE).of(minimum);
        assertThat(fraction(allocation, "w1", 0)).isWithin(TOLERANCE).of((300 - 1_000 * minimum) / 500);
    }

    /** Guards against allocating more than the capacity, or less than there is demand for. */
    @Test
    void allocatesTheWholeCapacityAndNoMore() {
        List<ServiceDemand> demand = List.of(
                demand("a", 0, 1), demand("b", 0, 1_000), demand("c", 1, 40), demand("d", 1, 300), demand("d", 4, 9));
        for (double capacity : new double[] {0, 1, 10, 500, 1_020, 1_349}) {
            ShareAllocation allocation = ShareAllocation.of(capacity, demand);
            double allocated = demand.stream()
                    .mapToDouble(entry -> allocation
                            .of(new RequestClass(entry.workspace(), entry.urgency()))
                            .allocated())
                    .sum();
            assertThat(allocated).isWithin(1e-5 * capacity + 1e-6).of(capacity);
        }
    }

    /** Guards against a division by zero, and against refusing a class that has only just appeared. */
    @Test
    void aClassWithoutRecordedDemandIsAdmitted() {
        assertThat(fraction(allocate(0), "new", 3)).isEqualTo(1);
        assertThat(fraction(allocate(10, demand("a", 0, 100)), "new", 0)).isEqualTo(1);
    }

    /** Guards against admitting without limit the workspaces that a report counts together. */
    @Test
    void aClassWithoutDemandOfItsOwnGetsTheShareOfThoseCountedTogether() {
        ShareAllocation allocation = allocate(10, demand("", 0, 100));
        assertThat(fraction(allocation, "one of many", 0)).isWithin(TOLERANCE).of(0.1);
    }

    private static ShareAllocation allocate(double capacity, ServiceDemand... demand) {
        return ShareAllocation.of(capacity, List.of(demand));
    }

    private static ServiceDemand demand(String workspace, int urgency, double arrived) {
        return new ServiceDemand("service", workspace, urgency, arrived, 0, 0, 0);
    }

    private static double fraction(ShareAllocation allocation, String workspace, int urgency) {
        return allocation.of(new RequestClass(workspace, urgency)).fraction();
    }
}
