package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * Who tells whom of work in flight, as one router sees it.
 *
 * <p>In a small fleet every router tells every other. In a larger one the routers of a data centre tell one of them, the
 * gatherer: the largest that answers. Gatherers tell each other the sums, and their members all that is not their own.
 * Routers need not agree: whoever is told of work gathers it.
 *
 * @param gatherer the router that gathers this one's work, or null if it gathers itself
 * @param otherGatherers the routers that are told of this one's group, if it gathers
 */
record GatheringPlan(@Nullable Peer gatherer, List<Peer> otherGatherers) {
    /** Routers up to which everyone tells everyone: 15 messages five times a second, about 0.3% of a core. */
    static final int FLAT_FLEET = 16;

    /**
     * Plans.
     *
     * @param self this router
     * @param peers the other routers
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static GatheringPlan of(FleetRouter self, Collection<Peer> peers, long nowMillis) {
        if (peers.size() < FLAT_FLEET) {
            return new GatheringPlan(
                    null, peers.stream().filter(peer -> !peer.suspected()).toList());
        }
        Peer first = null;
        Map<DataCentre, List<Peer>> elsewhere = new LinkedHashMap<>();
        List<Peer> leaders = new ArrayList<>();
        for (Peer peer : peers) {
            if (peer.suspected() || !peer.router().located()) {
                continue;
            }
            if (!peer.router().dataCentre().equals(self.dataCentre())) {
                elsewhere
                        .computeIfAbsent(peer.router().dataCentre(), place -> new ArrayList<>())
                        .add(peer);
                continue;
            }
            if (peer.leads(nowMillis)) {
                leaders.add(peer);
            }
            if (before(peer.router(), first == null ? self : first.router())) {
                first = peer;
            }
        }
        if (first != null) {
            return new GatheringPlan(first, List.of());
        }
        elsewhere.values().forEach(group -> leaders.addAll(leadersOf(group, nowMillis)));
        return new GatheringPlan(null, leaders);
    }

    /** Returns the router that gathers this one's work, if it does not do so itself. */
    Optional<Peer> otherGatherer() {
        return Optional.ofNullable(gatherer);
    }

    /** Tells whether this router gathers. */
    boolean gathers() {
        return gatherer == null;
    }

    /** Those that speak for the group; before any does, the one that should. */
    private static List<Peer> leadersOf(List<Peer> group, long nowMillis) {
        List<Peer> leading =
                group.stream().filter(peer -> peer.leads(nowMillis)).toList();
        if (!leading.isEmpty()) {
            return leading;
        }
        Peer first = group.get(0);
        for (Peer peer : group) {
            first = before(peer.router(), first.router()) ? peer : first;
        }
        return List.of(first);
    }

    private static boolean before(FleetRouter one, FleetRouter other) {
        return FleetRouter.BY_DUTY.compare(one, other) < 0;
    }
}
