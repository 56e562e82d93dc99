package org.radishpass.core.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.testing.Endpoints;

/** Checks the slot accounts of the endpoints that a router owns. */
final class SlotBookTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final LoadBound BOUND = new LoadBound(1.25);

    private final SlotBook book = new SlotBook();

    @Test
    void noSlotIsGrantedAtALeavingEndpoint() {
        book.own(List.of(Endpoints.engine("engine-0", EndpointState.LEAVING)));

        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.CLOSED);
    }

    @Test
    void aSlotAtAnEndpointThatIsNotOwnedIsUnconfirmed() {
        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.UNCONFIRMED);
    }

    @Test
    void aSecondSlotAtOneOfFourIdleEndpointsIsOverTheBound() {
        book.own(Endpoints.engines(4));

        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.GRANTED);
        assertThat(reserve("engine-0", "b")).isEqualTo(SlotAnswer.OVER_BOUND);
        assertThat(reserve("engine-1", "b")).isEqualTo(SlotAnswer.GRANTED);
    }

    @Test
    void aRepeatedRequestForAHeldSlotHoldsNoSecondSlot() {
        book.own(Endpoints.engines(1));
        reserve("engine-0", "a");

        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.GRANTED);
        assertThat(book.running("engine-0")).isEqualTo(1);
    }

    @Test
    void aSlotExpiresAtItsDeadline() {
        book.own(Endpoints.engines(1));
        reserve("engine-0", "a");

        book.expire(NOW.plusSeconds(59));
        assertThat(book.running("engine-0")).isEqualTo(1);
        book.expire(NOW.plusSeconds(60));
        assertThat(book.running("engine-0")).isEqualTo(0);
    }

    @Test
    void theSlotsOfAStoppedRouterAreReleased() {
        book.own(Endpoints.engines(1));
        reserve("engine-0", "a");

        book.releaseAllOf("router");

        assertThat(book.running("engine-0")).isEqualTo(0);
    }

    @Test
    void foreignLoadCountsAfterTwoReportsShowIt() {
        book.own(Endpoints.engines(2));
        book.report("engine-0", 5, 32);
        assertThat(book.running("engine-0")).isEqualTo(0);

        book.report("engine-0", 5, 32);

        assertThat(book.running("engine-0")).isEqualTo(5);
        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.OVER_BOUND);
    }

    @Test
    void anAdoptedSlotIsNotCountedAsForeignLoadToo() {
        book.own(Endpoints.engines(1));
        book.report("engine-0", 1, 32);
        book.report("engine-0", 1, 32);

        book.adopt("engine-0", request("a", PriorityClass.INTERACTIVE));

        assertThat(book.running("engine-0")).isEqualTo(1);
    }

    @Test
    void aSlotBeyondTheCapacityIsDeniedAsFull() {
        book.own(Endpoints.engines(1));
        book.report("engine-0", 0, 1);
        reserve("engine-0", "a");

        assertThat(reserve("engine-0", "b")).isEqualTo(SlotAnswer.FULL);
    }

    @Test
    void batchRequestsHoldAtMostHalfOfTheSlots() {
        book.own(Endpoints.engines(1));
        book.report("engine-0", 0, 4);

        assertThat(reserve("engine-0", "a", PriorityClass.BATCH)).isEqualTo(SlotAnswer.GRANTED);
        assertThat(reserve("engine-0", "b", PriorityClass.BATCH)).isEqualTo(SlotAnswer.GRANTED);
        assertThat(reserve("engine-0", "c", PriorityClass.BATCH)).isEqualTo(SlotAnswer.FULL);
        assertThat(reserve("engine-0", "d", PriorityClass.INTERACTIVE)).isEqualTo(SlotAnswer.GRANTED);

        book.release("engine-0", new SlotId("router", "a".hashCode()));

        assertThat(reserve("engine-0", "c", PriorityClass.BATCH)).isEqualTo(SlotAnswer.GRANTED);
    }

    @Test
    void theLoadOfOtherOwnersCountsUntilItExpires() {
        book.own(Endpoints.engines(1));
        book.total(Endpoints.POOL, new PoolLoad(10, 5), new PoolLoad(2, 1), NOW);

        assertThat(book.poolLoad(Endpoints.POOL, NOW)).isEqualTo(new PoolLoad(8, 5));
        assertThat(book.poolLoad(Endpoints.POOL, NOW.plus(SlotBook.POOL_LOAD_LIFETIME)))
                .isEqualTo(new PoolLoad(0, 1));
    }

    @Property(tries = 200, seed = "45")
    void noEndpointExceedsTheBoundAndSomeEndpointAlwaysHasRoom(
            @ForAll @IntRange(min = 1, max = 12) int engines, @ForAll @IntRange(min = 1, max = 80) int requests) {
        SlotBook ownerBook = new SlotBook();
        List<Endpoint> endpoints = Endpoints.engines(engines);
        ownerBook.own(endpoints);
        Random random = new Random(engines * 1_000L + requests);
        for (int i = 0; i < requests; i++) {
            List<Endpoint> ranked = new ArrayList<>(endpoints);
            if (random.nextBoolean()) {
                Collections.shuffle(ranked, random);
            }
            boolean placed = false;
            for (int k = 0; k < engines && !placed; k++) {
                String id = ranked.get(k).id();
                int limit = BOUND.limit(ownerBook.poolLoad(Endpoints.POOL, NOW), 1);
                SlotRequest request = request("slot-" + i, PriorityClass.INTERACTIVE);
                placed = ownerBook.reserve(id, Endpoints.POOL, request, NOW) == SlotAnswer.GRANTED;
                assertThat(placed && ownerBook.running(id) > limit).isFalse();
            }
            assertThat(placed).isTrue();
        }
    }

    private SlotAnswer reserve(String endpointId, String slotId) {
        return reserve(endpointId, slotId, PriorityClass.INTERACTIVE);
    }

    private SlotAnswer reserve(String endpointId, String slotId, PriorityClass priority) {
        return book.reserve(endpointId, Endpoints.POOL, request(slotId, priority), NOW);
    }

    private static SlotRequest request(String slotId, PriorityClass priority) {
        return new SlotRequest(new SlotId("router", slotId.hashCode()), priority, BOUND, NOW.plusSeconds(60));
    }
}
