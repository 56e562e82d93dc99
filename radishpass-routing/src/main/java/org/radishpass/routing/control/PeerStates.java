package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.load.InFlight;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Translates between messages to peers and the types of this module. */
final class PeerStates {
    private static final Logger LOG = LoggerFactory.getLogger(PeerStates.class);

    private PeerStates() {
        // static methods only
    }

    /** Returns the entry that tells of a router. */
    static RoutingMessage.RouterEntry entry(FleetRouter router) {
        return new RoutingMessage.RouterEntry(
                router.id(), router.located() ? router.dataCentre().name() : "", router.cores());
    }

    /** Returns the entries that tell of routers. */
    static List<RoutingMessage.RouterEntry> entries(List<FleetRouter> routers) {
        return routers.stream().map(PeerStates::entry).toList();
    }

    /** Returns the router that an entry tells of, if it can be read. */
    static Optional<FleetRouter> router(RoutingMessage.RouterEntry entry) {
        return addresses(List.of(entry.address())).stream()
                .findFirst()
                .map(address -> entry.dataCentre().isBlank()
                        ? FleetRouter.unlocated(address)
                        : new FleetRouter(address, new DataCentre(entry.dataCentre()), entry.cores()));
    }

    /** Returns the routers that can be read. */
    static List<FleetRouter> routers(List<RoutingMessage.RouterEntry> entries) {
        return entries.stream()
                .map(PeerStates::router)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns the entries that tell of work, by endpoint. */
    static List<RoutingMessage.EndpointWork> entries(Map<String, InFlight> work) {
        List<RoutingMessage.EndpointWork> entries = new ArrayList<>(work.size());
        work.forEach(
                (id, amount) -> entries.add(new RoutingMessage.EndpointWork(id, amount.requests(), amount.tokens())));
        return entries;
    }

    /** Returns the work that a message tells of, by endpoint. */
    static Map<String, InFlight> work(RoutingMessage.RoutingState state) {
        Map<String, InFlight> work = new HashMap<>();
        state.work().forEach(entry -> work.put(entry.endpointId(), new InFlight(entry.requests(), entry.tokens())));
        return work;
    }

    /** Returns the entries that tell of data centres that are to get nothing new. */
    static List<RoutingMessage.DrainEntry> drains(DrainTracker tracker, long nowMillis) {
        return tracker.changes().stream()
                .map(change -> new RoutingMessage.DrainEntry(
                        change.drain().dataCentre().name(),
                        change.drain().position().revision(),
                        change.drain().drained(),
                        nowMillis - change.sinceMillis(),
                        change.drain().position().era()))
                .toList();
    }

    /** Takes what a peer tells of data centres that are to get nothing new; returns whether any of it was news. */
    static boolean takeDrains(
            List<RoutingMessage.DrainEntry> entries, DrainTracker tracker, StoreEra era, long nowMillis) {
        boolean news = false;
        for (RoutingMessage.DrainEntry entry : entries) {
            long sinceMillis = nowMillis - Math.max(0, entry.forMillis());
            news |= drain(entry, era)
                    .filter(drain -> tracker.offer(drain, sinceMillis))
                    .isPresent();
        }
        return news;
    }

    private static Optional<DataCentreDrain> drain(RoutingMessage.DrainEntry entry, StoreEra era) {
        return entry.dataCentre().isBlank()
                ? Optional.empty()
                : Optional.of(new DataCentreDrain(
                        new DataCentre(entry.dataCentre()),
                        new StorePosition(era.resolved(entry.era()), entry.revision()),
                        entry.drained()));
    }

    /** Returns the reading that a peer's list rests on. */
    static ListReading reading(RoutingMessage.RoutingState state, StoreEra era) {
        return new ListReading(
                        new StorePosition(state.directoryEra(), state.directory()),
                        state.directoryReadMillis(),
                        state.directorySettled())
                .resolved(era);
    }

    /** Returns the addresses that can be read; the others are logged and left out. */
    static List<Address> addresses(List<String> texts) {
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            int colon = text.lastIndexOf(':');
            try {
                addresses.add(new Address(
                        text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1))));
            } catch (IllegalArgumentException e) {
                LOG.warn("{} is not the address of a router: {}", text, e.getMessage());
            }
        }
        return addresses;
    }
}
