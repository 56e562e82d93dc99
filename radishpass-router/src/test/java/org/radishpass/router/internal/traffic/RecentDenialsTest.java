package org.radishpass.router.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;
import org.radishpass.core.load.LoadBound;
import org.radishpass.core.load.SlotAnswer;

/** Tests that endpoints which recently denied a slot are left out for a limited time. */
final class RecentDenialsTest {
    private final ManualClock clock = new ManualClock();
    private final RecentDenials denials = new RecentDenials(clock);
    private final Endpoint full = engine("full");
    private final Endpoint free = engine("free");

    @Test
    void denialIsForgottenAfterRetention() {
        denials.recordResult(full, request(PriorityClass.INTERACTIVE), new SlotResult(SlotAnswer.OVER_BOUND, 5, 5));
        assertThat(denials.withoutDenied(List.of(full, free), request(PriorityClass.INTERACTIVE)))
                .containsExactly(free);

        clock.now = clock.now.plus(Duration.ofSeconds(1));

        assertThat(denials.withoutDenied(List.of(full, free), request(PriorityClass.INTERACTIVE)))
                .containsExactly(full, free);
    }

    @Test
    void denialAppliesToItsPriorityClassOnly() {
        denials.recordResult(full, request(PriorityClass.BATCH), new SlotResult(SlotAnswer.FULL, 5, 5));

        assertThat(denials.withoutDenied(List.of(full, free), request(PriorityClass.INTERACTIVE)))
                .containsExactly(full, free);
    }

    @Test
    void grantIsNotRecordedAsDenial() {
        denials.recordResult(full, request(PriorityClass.INTERACTIVE), new SlotResult(SlotAnswer.GRANTED, 1, 5));

        assertThat(denials.withoutDenied(List.of(full), request(PriorityClass.INTERACTIVE)))
                .containsExactly(full);
    }

    private PlaceRequest request(PriorityClass priority) {
        return new PlaceRequest(
                "w", "chat", null, "pool", priority, LoadBound.DEFAULT, 0, 1, clock.now.plusSeconds(9), Set.of());
    }

    private static Engine engine(String id) {
        return new Engine(
                id, "1", new DataCentre("here"), new Address("127.0.0.1", 1), EndpointState.READY, Set.of("pool"), 1);
    }

    private static final class ManualClock extends Clock {
        private Instant now = Instant.parse("2026-01-01T00:00:00Z");

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    }
}
