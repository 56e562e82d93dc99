package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.core.fleet.Address;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.FleetRouter;

/** Checks which routers read the store, and how long a router waits before it reads a failing store again. */
final class StoreReadScopeTest {
    @ParameterizedTest
    @CsvSource({
        "false, 0, ALL",
        "true, 1, CONFIGURATION",
        "true, 2, CONFIGURATION",
        "true, 3, NONE",
        "true, 50, NONE",
        "false, 4, ALL"
    })
    void theFirstReaderReadsAllAndTheNextTwoTheConfiguration(
            boolean precedingReads, int preceding, StoreReadScope scope) {
        assertThat(StoreReadScope.of(precedingReads, preceding)).isEqualTo(scope);
    }

    @Test
    void aListFromAnotherPeerDoesNotCountAsOwnRead() {
        Peer peer = new Peer(FleetRouter.unlocated(new Address("10.0.0.1", 7_340)), 0);
        RoutingMessage.RoutingState state = new RoutingMessage.RoutingState(
                1,
                1,
                List.of(),
                0,
                9_900,
                true,
                List.of(),
                WorkScope.GROUP,
                1_000,
                List.of(),
                List.of(),
                1,
                1,
                List.of(),
                List.of(),
                List.of());
        peer.recordState(state, RoutingMessageMapper.toListVersion(state, new StoreEra()), 10_000);
        assertThat(peer.listVersion().storeMillis()).isEqualTo(9_900);
        assertThat(peer.ownReadStoreMillis()).isEqualTo(1_000);
    }

    @Test
    void retryBackoffsGrowToABoundAndResetAfterAResponse() {
        RetryBackoff backoff = new RetryBackoff();
        long first = backoff.next().toMillis();
        assertThat(first).isAtLeast(350);
        assertThat(first).isLessThan(440);
        for (int failure = 0; failure < 10; failure++) {
            assertThat(backoff.next().toMillis()).isAtMost(875);
        }
        assertThat(backoff.next().toMillis()).isAtLeast(700);
        backoff.reset();
        assertThat(backoff.next().toMillis()).isLessThan(440);
    }
}
