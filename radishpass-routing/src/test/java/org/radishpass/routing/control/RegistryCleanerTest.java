package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.testing.FakeStore;

/** Checks that registrations of lost routers are removed. */
final class RegistryCleanerTest {
    private static final FleetRouter SELF = router(1);
    private static final FleetRouter GONE = router(2);
    private static final FleetRouter ALIVE = router(3);

    private final FakeStore store = new FakeStore();

    @Test
    void onlyRegistrationsOfGoneRoutersAreRemoved() {
        FakeStore.Link link = store.link();
        link.register(SELF).block();
        link.register(GONE).block();
        link.register(ALIVE).block();
        new RegistryCleaner(link).clean(List.of(GONE)).block();
        assertThat(routers(link)).containsExactly(SELF, ALIVE);
    }

    @Test
    void nothingIsRemovedWhileTheStoreIsUnavailable() {
        store.link().register(GONE).block();
        new RegistryCleaner(store.link().cut(true)).clean(List.of(GONE)).block();
        assertThat(routers(store.link())).containsExactly(GONE);
    }

    @Test
    void aRouterExpiresOnlyWhenNotMentionedForTheWholePeriod() {
        PeerTable peers = new PeerTable(SELF);
        peers.addOrMention(List.of(GONE, ALIVE), 0);
        peers.addOrMention(List.of(ALIVE), 1);
        assertThat(peers.removeExpired(PeerTable.EXPIRY_MILLIS)).isEmpty();
        assertThat(peers.removeExpired(PeerTable.EXPIRY_MILLIS + 1)).containsExactly(GONE);
        assertThat(peers.routerCount()).isEqualTo(2);
    }

    private static List<FleetRouter> routers(FakeStore.Link link) {
        return link.registered()
                .ofType(RegistryReadResult.Registered.class)
                .map(RegistryReadResult.Registered::routers)
                .blockOptional()
                .orElseThrow();
    }

    private static FleetRouter router(int number) {
        return new FleetRouter(new Address("10.0.0." + number, 7_340), new DataCentre("here"), 1);
    }
}
