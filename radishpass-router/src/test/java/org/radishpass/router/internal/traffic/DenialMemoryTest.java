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

/** Checks that endpoints which have just denied a slot are left out for a moment. */
final class DenialMemoryTest {
    private final Time time = new Time();
    private final DenialMemory memory = new DenialMemory(time);
    private final Endpoint full = engine("full");
    private final Endpoint free = engine("free");

    @Test
    void aDenialIsRememberedForAMoment() {
        memory.note(full, request(PriorityClass.INTERACTIVE), new SlotOffer(SlotAnswer.OVER_BOUND, 5, 5));
        assertThat(memory.without(List.of(full, free), request(PriorityClass.INTERACTIVE)))
                .containsExactly(free);

        time.now = time.now.plus(Duration.ofSeconds(1));

        assertThat(memory.without(List.of(full, free), request(PriorityClass.INTERACTIVE)))
                .containsExactly(full, free);
    }

    @Test
    void aDenialOfOneClassSaysNothingOfAnother() {
        memory.note(full, request(PriorityClass.BATCH), new SlotOffer(SlotAnswer.FULL, 5, 5));

        assertThat(memory.without(List.of(full, free), request(PriorityClass.INTERACTIVE)))
                .containsExactly(full, free);
    }

    @Test
    void aGrantIsNotADenial() {
        memory.note(full, request(PriorityClass.INTERACTIVE), new SlotOffer(SlotAnswer.GRANTED, 1, 5));

        assertThat(memory.without(List.of(full), request(PriorityClass.INTERACTIVE)))
                .containsExactly(full);
    }

    private PlaceRequest request(PriorityClass priority) {
        return new PlaceRequest(
                "w", "chat", null, "pool", priority, LoadBound.DEFAULT, 0, 1, time.now.plusSeconds(9), Set.of());
    }

    private static Engine engine(String id) {
        return new Engine(
                id, "1", new DataCentre("here"), new Address("127.0.0.1", 1), EndpointState.READY, Set.of("pool"), 1);
    }

    private static final class Time extends Clock {
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
