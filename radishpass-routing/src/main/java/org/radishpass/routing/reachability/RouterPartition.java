package org.radishpass.routing.reachability;

import java.util.Comparator;
import java.util.List;

/**
 * The services of which one router reaches no endpoint, as reported by that router.
 *
 * @param routerId the router
 * @param services the services, without duplicates
 * @param observedAtMillis when the router observed it, on this router's monotonic clock in milliseconds
 * @since 0.9.0
 */
public record RouterPartition(String routerId, List<String> services, long observedAtMillis) {
    /** Orders partitions from the latest to the earliest. */
    public static final Comparator<RouterPartition> LATEST_FIRST =
            Comparator.comparingLong(RouterPartition::observedAtMillis).reversed();

    /** Creates a partition with a copy of the services. */
    public RouterPartition {
        services = List.copyOf(services);
    }
}
