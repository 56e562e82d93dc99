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
final class OwnedSlotAccountsTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final LoadBound BOUND = new LoadBound(1.25);

    private final OwnedSlotAccounts accounts = new OwnedSlotAccounts();

    @Test
    void noSlotIsGrantedAtALeavingEndpoint() {
        accounts.setOwnedEndpoints(List.of(Endpoints.engine("engine-0", EndpointState.LEAVING)));

        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.CLOSED);
    }

    @Test
    void aSlotAtAnEndpointThatIsNotOwnedIsUnconfirmed() {
        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.UNCONFIRMED);
    }

    @Test
    void aSecondSlotAtOneOfFourIdleEndpointsIsOverTheBound() {
        accounts.setOwnedEndpoints(Endpoints.engines(4));

        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.GRANTED);
        assertThat(reserve("engine-0", "b")).isEqualTo(SlotAnswer.OVER_BOUND);
        assertThat(reserve("engine-1", "b")).isEqualTo(SlotAnswer.GRANTED);
    }

    @Test
    void aRepeatedRequestForAHeldSlotHoldsNoSecondSlot() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        reserve("engine-0", "a");

        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.GRANTED);
        assertThat(accounts.running("engine-0")).isEqualTo(1);
    }

    @Test
    void aSlotExpiresAtItsDeadline() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        reserve("engine-0", "a");

        accounts.expire(NOW.plusSeconds(59));
        assertThat(accounts.running("engine-0")).isEqualTo(1);
        accounts.expire(NOW.plusSeconds(60));
        assertThat(accounts.running("engine-0")).isEqualTo(0);
    }

    @Test
    void theSlotsOfAStoppedRouterAreReleased() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        reserve("engine-0", "a");

        accounts.releaseAllOf("router");

        assertThat(accounts.running("engine-0")).isEqualTo(0);
    }

    @Test
    void foreignLoadCountsAfterTwoReportsShowIt() {
        accounts.setOwnedEndpoints(Endpoints.engines(2));
        accounts.report("engine-0", 5, 32);
        assertThat(accounts.running("engine-0")).isEqualTo(0);

        accounts.report("engine-0", 5, 32);

        assertThat(accounts.running("engine-0")).isEqualTo(5);
        assertThat(reserve("engine-0", "a")).isEqualTo(SlotAnswer.OVER_BOUND);
    }

    @Test
    void anAdoptedSlotIsNotCountedAsForeignLoadToo() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        accounts.report("engine-0", 1, 32);
        accounts.report("engine-0", 1, 32);

        accounts.adopt("engine-0", request("a", PriorityClass.INTERACTIVE));

        assertThat(accounts.running("engine-0")).isEqualTo(1);
    }

    @Test
    void aSlotBeyondTheCapacityIsDeniedAsFull() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        accounts.report("engine-0", 0, 1);
        reserve("engine-0", "a");

        assertThat(reserve("engine-0", "b")).isEqualTo(SlotAnswer.FULL);
    }

    @Test
    void batchRequestsHoldAtMostHalfOfTheSlots() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        accounts.report("engine-0", 0, 4);

        assertThat(reserve("engine-0", "a", PriorityClass.BATCH)).isEqualTo(SlotAnswer.GRANTED);
        assertThat(reserve("engine-0", "b", PriorityClass.BATCH)).isEqualTo(SlotAnswer.GRANTED);
        assertThat(reserve("engine-0", "c", PriorityClass.BATCH)).isEqualTo(SlotAnswer.FULL);
        assertThat(reserve("engine-0", "d", PriorityClass.INTERACTIVE)).isEqualTo(SlotAnswer.GRANTED);

        accounts.release("engine-0", new SlotId("router", "a".hashCode()));

        assertThat(reserve("engine-0", "c", PriorityClass.BATCH)).isEqualTo(SlotAnswer.GRANTED);
    }

    @Test
    void theLoadOfOtherOwnersCountsUntilItExpires() {
        accounts.setOwnedEndpoints(Endpoints.engines(1));
        accounts.recordPoolLoad(Endpoints.POOL, new PoolLoad(10, 5), new PoolLoad(2, 1), NOW);

        assertThat(accounts.poolLoad(Endpoints.POOL, NOW)).isEqualTo(new PoolLoad(8, 5));
        assertThat(accounts.poolLoad(Endpoints.POOL, NOW.plus(OwnedSlotAccounts.POOL_LOAD_LIFETIME)))
                .isEqualTo(new PoolLoad(0, 1));
    }

    @Property(tries = 200, seed = "45")
    void noEndpointExceedsTheBoundAndSomeEndpointAlwaysHasRoom(
            @ForAll @IntRange(min = 1, max = 12) int engines, @ForAll @IntRange(min = 1, max = 80) int requests) {
        OwnedSlotAccounts ownerAccounts = new OwnedSlotAccounts();
        List<Endpoint> endpoints = Endpoints.engines(engines);
        ownerAccounts.setOwnedEndpoints(endpoints);
        Random random = new Random(engines * 1_000L + requests);
        for (int i = 0; i < requests; i++) {
            List<Endpoint> ranked = new ArrayList<>(endpoints);
            if (random.nextBoolean()) {
                Collections.shuffle(ranked, random);
            }
            boolean placed = false;
            for (int k = 0; k < engines && !placed; k++) {
                String id = ranked.get(k).id();
                int limit = BOUND.limit(ownerAccounts.poolLoad(Endpoints.POOL, NOW), 1);
                SlotRequest request = request("slot-" + i, PriorityClass.INTERACTIVE);
                placed = ownerAccounts.reserve(id, Endpoints.POOL, request, NOW) == SlotAnswer.GRANTED;
                assertThat(placed && ownerAccounts.running(id) > limit).isFalse();
            }
            assertThat(placed).isTrue();
        }
    }

    private SlotAnswer reserve(String endpointId, String slotId) {
        return reserve(endpointId, slotId, PriorityClass.INTERACTIVE);
    }

    private SlotAnswer reserve(String endpointId, String slotId, PriorityClass priority) {
        return accounts.reserve(endpointId, Endpoints.POOL, request(slotId, priority), NOW);
    }

    private static SlotRequest request(String slotId, PriorityClass priority) {
        return new SlotRequest(new SlotId("router", slotId.hashCode()), priority, BOUND, NOW.plusSeconds(60));
    }
}
