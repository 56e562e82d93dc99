package org.radishpass.routing.fairness;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.report.ServiceDemand;

/** Checks which demand is reported, and in which size. */
final class DemandCounterTest {
    private static final String SERVICE = "service";
    private static final RequestClass REQUESTS = new RequestClass("workspace", 1);

    private final DemandCounter counter = new DemandCounter();

    /** Guards against reports that grow although no service is contended. */
    @Test
    void reportsOnlyContendedServices() {
        counter.of(SERVICE, REQUESTS, 0).arrived().add(0);
        counter.of("other", REQUESTS, 0).arrived().add(0);
        assertThat(counter.observations(0).isEmpty()).isTrue();
        counter.contended(SERVICE, 3_000);
        assertThat(counter.observations(2_999).demand().stream().map(ServiceDemand::service))
                .containsExactly(SERVICE);
        assertThat(counter.observations(3_000).isEmpty()).isTrue();
    }

    /** Guards against rates that do not match the load. */
    @Test
    void ratesApproachTheRequestsPerSecond() {
        counter.contended(SERVICE, Long.MAX_VALUE);
        for (long millis = 0; millis < 20_000; millis += 20) {
            counter.of(SERVICE, REQUESTS, millis).arrived().add(millis);
        }
        assertThat(counter.observations(20_000).demand().get(0).arrived())
                .isWithin(1)
                .of(50);
        assertThat(counter.observations(30_000).demand().get(0).arrived()).isLessThan(1);
    }

    /** Guards against reports without bound, and against demand that is missing from the sums of the fleet. */
    @Test
    void countsTheSmallestWorkspacesTogetherInALargeReport() {
        counter.contended(SERVICE, Long.MAX_VALUE);
        double total = 0;
        for (int workspace = 0; workspace < 400; workspace++) {
            for (int request = 0; request <= workspace % 20; request++) {
                counter.of(SERVICE, new RequestClass("w" + workspace, workspace % 3), 0)
                        .arrived()
                        .add(0);
                total += 0.5;
            }
        }
        List<ServiceDemand> demand = counter.observations(0).demand();
        assertThat(demand.size()).isAtMost(DemandCounter.MAX_REPORTED);
        assertThat(demand.stream().mapToDouble(ServiceDemand::arrived).sum())
                .isWithin(1e-6)
                .of(total);
    }

    /** Guards against a state that grows with the names that callers may choose. */
    @Test
    void boundsTheClassesThatAreCounted() {
        counter.contended(SERVICE, Long.MAX_VALUE);
        for (int workspace = 0; workspace < 10_000; workspace++) {
            counter.of(SERVICE, new RequestClass("w" + workspace, 0), 0)
                    .arrived()
                    .add(0);
        }
        double merged = counter.observations(0).demand().stream()
                .filter(entry -> entry.workspace().isEmpty())
                .mapToDouble(ServiceDemand::arrived)
                .sum();
        assertThat(merged).isAtLeast(4_700);
        String longName = "x".repeat(DemandCounter.MAX_NAME_LENGTH + 1);
        counter.of(SERVICE, new RequestClass(longName, 0), 0).arrived().add(0);
        assertThat(counter.observations(0).demand().stream().map(ServiceDemand::workspace))
                .doesNotContain(longName);
    }
}
