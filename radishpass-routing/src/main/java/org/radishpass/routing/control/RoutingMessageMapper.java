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
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.stream.StreamOrigin;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.routing.stream.VersionPeriod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Maps between peer messages and the types of this module. */
final class RoutingMessageMapper {
    private static final Logger LOG = LoggerFactory.getLogger(RoutingMessageMapper.class);

    private RoutingMessageMapper() {
        // static methods only
    }

    /** Returns the message entry of a router. */
    static RoutingMessage.RouterEntry toEntry(FleetRouter router) {
        return new RoutingMessage.RouterEntry(
                router.id(),
                router.located() ? router.dataCentre().name() : "",
                router.cores(),
                router.relayPort(),
                router.messageLevel());
    }

    /** Returns the message entries of routers. */
    static List<RoutingMessage.RouterEntry> toEntries(List<FleetRouter> routers) {
        return routers.stream().map(RoutingMessageMapper::toEntry).toList();
    }

    /** Returns the router of a message entry, or nothing if the entry's address is malformed. */
    static Optional<FleetRouter> toRouter(RoutingMessage.RouterEntry entry) {
        return parseAddresses(List.of(entry.address())).stream()
                .findFirst()
                .map(address -> entry.dataCentre().isBlank()
                        ? FleetRouter.unlocated(address)
                        : new FleetRouter(
                                address,
                                new DataCentre(entry.dataCentre()),
                                entry.cores(),
                                entry.relayPort(),
                                entry.messageLevel()));
    }

    /** Returns the routers of message entries. Malformed entries are logged and left out. */
    static List<FleetRouter> toRouters(List<RoutingMessage.RouterEntry> entries) {
        return entries.stream()
                .map(RoutingMessageMapper::toRouter)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns the message entries of work in flight by endpoint. */
    static List<RoutingMessage.EndpointWork> toEntries(Map<String, InFlight> work) {
        List<RoutingMessage.EndpointWork> entries = new ArrayList<>(work.size());
        work.forEach(
                (id, amount) -> entries.add(new RoutingMessage.EndpointWork(id, amount.requests(), amount.tokens())));
        return entries;
    }

    /** Returns the work in flight of a state message by endpoint. */
    static Map<String, InFlight> toWork(RoutingMessage.RoutingState state) {
        Map<String, InFlight> work = new HashMap<>();
        state.work().forEach(entry -> work.put(entry.endpointId(), new InFlight(entry.requests(), entry.tokens())));
        return work;
    }

    /** Returns the message entries of the drained data centres and of those that are in use again. */
    static List<RoutingMessage.DrainEntry> toDrainEntries(DrainTracker tracker, long nowMillis) {
        return tracker.changes().stream()
                .map(change -> new RoutingMessage.DrainEntry(
                        change.drain().dataCentre().name(),
                        change.drain().position().revision(),
                        change.drain().drained(),
                        nowMillis - change.sinceMillis(),
                        change.drain().position().era()))
                .toList();
    }

    /** Applies the drained data centres that a peer reported. Returns whether any of them changed. */
    static boolean applyDrains(
            List<RoutingMessage.DrainEntry> entries, DrainTracker tracker, StoreEra era, long nowMillis) {
        boolean changed = false;
        for (RoutingMessage.DrainEntry entry : entries) {
            long sinceMillis = nowMillis - Math.max(0, entry.forMillis());
            changed |= toDrain(entry, era)
                    .filter(drain -> tracker.offer(drain, sinceMillis))
                    .isPresent();
        }
        return changed;
    }

    private static Optional<DataCentreDrain> toDrain(RoutingMessage.DrainEntry entry, StoreEra era) {
        return entry.dataCentre().isBlank()
                ? Optional.empty()
                : Optional.of(new DataCentreDrain(
                        new DataCentre(entry.dataCentre()),
                        new StorePosition(era.resolveSentEra(entry.era()), entry.revision()),
                        entry.drained()));
    }

    /** Returns the message with the recorded software versions; empty if none are known. */
    static Optional<RoutingMessage.StreamVersions> toStreamVersions(StreamVersionTracker tracker) {
        return tracker.record()
                .map(record -> new RoutingMessage.StreamVersions(
                        tracker.position().era(),
                        tracker.position().revision(),
                        record.era(),
                        record.unknownUntilMillis(),
                        record.periods().stream()
                                .map(period -> new RoutingMessage.StreamVersionEntry(
                                        period.origin().service(),
                                        period.origin().version().name(),
                                        period.endedAtMillis()))
                                .toList()));
    }

    /** Returns the record of software versions of a message. */
    static StreamVersionRecord toStreamVersionRecord(RoutingMessage.StreamVersions message) {
        return new StreamVersionRecord(
                message.recordEra(),
                message.unknownUntilMillis(),
                message.periods().stream()
                        .map(entry -> new VersionPeriod(
                                new StreamOrigin(entry.service(), new SoftwareVersion(entry.version())),
                                entry.endedAtMillis()))
                        .toList());
    }

    /** Returns the store read on which a peer's endpoint list is based. */
    static EndpointListVersion toListVersion(RoutingMessage.RoutingState state, StoreEra era) {
        return new EndpointListVersion(
                        new StorePosition(state.directoryEra(), state.directoryRevision()),
                        state.directoryReadMillis(),
                        state.directorySettled())
                .withResolvedEra(era);
    }

    /** Returns the addresses that can be parsed. Malformed addresses are logged and left out. */
    static List<Address> parseAddresses(List<String> texts) {
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            int colon = text.lastIndexOf(':');
            try {
                addresses.add(new Address(
                        text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1))));
            } catch (IllegalArgumentException e) {
                LOG.warn("malformed router address {} is ignored: {}", text, e.getMessage());
            }
        }
        return addresses;
    }
}
