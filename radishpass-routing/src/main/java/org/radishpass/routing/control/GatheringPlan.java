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
 * Determines which routers exchange reports of work in flight, as seen by one router.
 *
 * <p>In a small fleet every router gathers its own work and reports to every other router. In a larger fleet the
 * routers of a data centre form a group: each reports to one of them, the gatherer, which is the largest router that
 * answers. Gatherers exchange the sums of their groups, and send each member all work but the member's own. Routers
 * need not agree on the gatherer: a router that receives reports of work gathers them.
 *
 * @param gatherer the router that gathers this router's work, or null if this router is a gatherer
 * @param peerGatherers the routers to which this router reports its group's work, if it is a gatherer
 */
record GatheringPlan(@Nullable Peer gatherer, List<Peer> peerGatherers) {
    /**
     * Largest fleet in which every router reports to every other: 15 messages five times a second, about 0.3% of a
     * core.
     */
    static final int MAX_FULL_MESH_ROUTERS = 16;

    /**
     * Creates the plan of a router.
     *
     * @param self this router
     * @param peers the other routers
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static GatheringPlan of(FleetRouter self, Collection<Peer> peers, long nowMillis) {
        if (peers.size() < MAX_FULL_MESH_ROUTERS) {
            return new GatheringPlan(
                    null, peers.stream().filter(peer -> !peer.suspected()).toList());
        }
        Peer largest = null;
        Map<DataCentre, List<Peer>> otherGroups = new LinkedHashMap<>();
        List<Peer> gatherers = new ArrayList<>();
        for (Peer peer : peers) {
            if (peer.suspected() || !peer.router().located()) {
                continue;
            }
            if (!peer.router().dataCentre().equals(self.dataCentre())) {
                otherGroups
                        .computeIfAbsent(peer.router().dataCentre(), dataCentre -> new ArrayList<>())
                        .add(peer);
                continue;
            }
            if (peer.isGatherer(nowMillis)) {
                gatherers.add(peer);
            }
            if (precedes(peer.router(), largest == null ? self : largest.router())) {
                largest = peer;
            }
        }
        if (largest != null) {
            return new GatheringPlan(largest, List.of());
        }
        otherGroups.values().forEach(group -> gatherers.addAll(gatherersOf(group, nowMillis)));
        return new GatheringPlan(null, gatherers);
    }

    /** Returns the router that gathers this router's work, or nothing if this router is a gatherer. */
    Optional<Peer> ownGatherer() {
        return Optional.ofNullable(gatherer);
    }

    /** Tells whether this router gathers its own work. */
    boolean gathers() {
        return gatherer == null;
    }

    /** Returns the routers of a group that act as gatherers, or else the router that should become the gatherer. */
    private static List<Peer> gatherersOf(List<Peer> group, long nowMillis) {
        List<Peer> gatherers =
                group.stream().filter(peer -> peer.isGatherer(nowMillis)).toList();
        if (!gatherers.isEmpty()) {
            return gatherers;
        }
        Peer largest = group.get(0);
        for (Peer peer : group) {
            largest = precedes(peer.router(), largest.router()) ? peer : largest;
        }
        return List.of(largest);
    }

    private static boolean precedes(FleetRouter one, FleetRouter other) {
        return FleetRouter.LARGEST_FIRST.compare(one, other) < 0;
    }
}
