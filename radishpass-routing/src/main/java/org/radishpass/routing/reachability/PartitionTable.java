package org.radishpass.routing.reachability;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Holds the services that other routers do not reach, as these routers reported it themselves or through others. A
 * router without an entry either reaches endpoints of each service or has not reported. Confined to the traffic thread.
 *
 * @since 0.9.0
 */
public final class PartitionTable {
    /**
     * The age up to which an entry counts, in milliseconds. A router repeats its entry with each of its reports, which
     * are 0.6 s apart at most and pass through up to two other routers.
     */
    static final long VALID_MILLIS = 2_500;

    /**
     * The maximum number of entries in a report: about 15 KB. It exceeds the number of routers of the largest fleet, of which
     * all but one may be partitioned.
     */
    static final int MAX_REPORTED = 512;

    private final Map<String, RouterPartition> byRouter = new HashMap<>();
    private final Map<String, Long> endedAtMillisByRouter = new HashMap<>();

    /**
     * Stores the entries of a peer's report. The report of a router about itself without an entry ends its partition.
     *
     * @param reporterId the peer
     * @param reported the entries, which may concern other routers
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return the routers whose entry has been added or removed, or has changed its services
     */
    public List<String> record(String reporterId, List<RouterPartition> reported, long nowMillis) {
        Map<String, List<String>> before = new HashMap<>();
        reported.forEach(partition -> before.put(partition.routerId(), services(partition.routerId(), nowMillis)));
        before.computeIfAbsent(reporterId, id -> services(id, nowMillis));
        if (reported.stream().noneMatch(partition -> partition.routerId().equals(reporterId))) {
            byRouter.remove(reporterId);
            endedAtMillisByRouter.put(reporterId, nowMillis);
        }
        reported.forEach(this::storeIfLater);
        return before.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(services(entry.getKey(), nowMillis)))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void storeIfLater(RouterPartition partition) {
        long endedAtMillis = endedAtMillisByRouter.getOrDefault(partition.routerId(), Long.MIN_VALUE);
        RouterPartition known = byRouter.get(partition.routerId());
        boolean later = known == null || partition.observedAtMillis() > known.observedAtMillis();
        if (later && partition.observedAtMillis() > endedAtMillis) {
            byRouter.put(partition.routerId(), partition);
        }
    }

    /**
     * Returns the services that a router does not reach, as far as is known.
     *
     * @param routerId the router
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<String> services(String routerId, long nowMillis) {
        @Nullable RouterPartition known = byRouter.get(routerId);
        return known == null || expired(known, nowMillis) ? List.of() : known.services();
    }

    /**
     * Tells whether a router has reported that it reaches no endpoint of a service.
     *
     * @param routerId the router
     * @param service the service
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean unreached(String routerId, String service, long nowMillis) {
        return services(routerId, nowMillis).contains(service);
    }

    /**
     * Returns the entries for a report to other routers: the latest, at most {@link #MAX_REPORTED}.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<RouterPartition> toReport(long nowMillis) {
        if (byRouter.isEmpty()) {
            return List.of();
        }
        return byRouter.values().stream()
                .filter(partition -> !expired(partition, nowMillis))
                .sorted(RouterPartition.LATEST_FIRST)
                .limit(MAX_REPORTED)
                .toList();
    }

    /**
     * Removes expired entries.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void removeExpired(long nowMillis) {
        byRouter.values().removeIf(partition -> expired(partition, nowMillis));
        endedAtMillisByRouter.values().removeIf(endedAt -> nowMillis - Objects.requireNonNull(endedAt) > VALID_MILLIS);
    }

    /** Returns the number of routers that have reported a service that they do not reach. */
    public int size() {
        return byRouter.size();
    }

    private static boolean expired(RouterPartition partition, long nowMillis) {
        return nowMillis - partition.observedAtMillis() > VALID_MILLIS;
    }
}
