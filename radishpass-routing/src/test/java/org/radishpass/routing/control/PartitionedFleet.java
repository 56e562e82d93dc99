package org.radishpass.routing.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * A fleet in virtual time of which some routers have lost their links to all endpoints, and the requests that these relay.
 * A router that lacks a path refuses a relayed request, and another one is asked.
 */
final class PartitionedFleet {
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final int DATA_CENTRES = 9;
    private static final int MAX_ROUTERS_ASKED = 3;

    private final VirtualFleet fleet;
    private final List<VirtualRouter> cut = new ArrayList<>();
    private final Set<String> cutIds = new HashSet<>();
    private final Map<String, Integer> servedFor = new HashMap<>();

    /**
     * Starts a fleet and cuts some of its routers.
     *
     * @param routers the number of routers
     * @param cutRouters the number of routers that lose their links
     */
    PartitionedFleet(int routers, int cutRouters) {
        fleet = new VirtualFleet(routers, Math.min(DATA_CENTRES, routers / 3), 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.advance(WARM_UP);
        List<VirtualRouter> shuffled = new ArrayList<>(fleet.routers());
        Collections.shuffle(shuffled, new Random(routers));
        cut.addAll(shuffled.subList(0, cutRouters));
        cut.forEach(router -> cutIds.add(router.id()));
        cut.forEach(router -> router.cutLinks(true));
    }

    /** Advances the virtual time. */
    void advance(Duration time) {
        fleet.advance(time);
    }

    /** Ends the cut. */
    void restoreLinks() {
        cut.forEach(router -> router.cutLinks(false));
        cutIds.clear();
    }

    /**
     * Sends requests at each cut router, and returns the share that another router served.
     *
     * @param requests the number of requests at each cut router
     */
    double shareServed(int requests) {
        long nowMillis = fleet.scheduler().millis();
        int served = 0;
        for (VirtualRouter router : cut) {
            for (int request = 0; request < requests; request++) {
                served += serves(router, nowMillis) ? 1 : 0;
            }
        }
        return (double) served / (cut.size() * requests);
    }

    private boolean serves(VirtualRouter router, long nowMillis) {
        Set<String> asked = new HashSet<>();
        while (asked.size() < MAX_ROUTERS_ASKED) {
            Optional<FleetRouter> chosen = router.relayPeers().choose(VirtualRouter.SERVICE, asked, nowMillis);
            if (chosen.isEmpty()) {
                return false;
            }
            String id = chosen.get().id();
            router.relayPeers().started(id);
            if (!cutIds.contains(id)) {
                servedFor.merge(id, 1, Integer::sum);
                return true;
            }
            router.relayPeers().ended(id);
            router.relayPeers().refused(id, nowMillis);
            asked.add(id);
        }
        return false;
    }

    /** Returns the most requests that one router served for others, over the mean of all that have a path. */
    double loadOfBusiestOverMean() {
        int busiest =
                servedFor.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        int total = servedFor.values().stream().mapToInt(Integer::intValue).sum();
        return (double) busiest * (fleet.routers().size() - cut.size()) / total;
    }

    /** Returns the number of routers that know of no partition. */
    long routersWithoutPartitions() {
        long nowMillis = fleet.scheduler().millis();
        return fleet.routers().stream()
                .filter(router -> router.partitions().toReport(nowMillis).isEmpty())
                .count();
    }
}
