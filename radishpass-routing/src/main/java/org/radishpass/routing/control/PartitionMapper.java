package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.reachability.RouterPartition;
import org.radishpass.routing.reachability.UnreachedService;

/** Maps between the partitions in peer messages and those of this module. */
final class PartitionMapper {
    private PartitionMapper() {
        // static methods only
    }

    /**
     * Returns the partitions of a state message.
     *
     * @param state the message
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static List<RouterPartition> toPartitions(RoutingMessage.RoutingState state, long nowMillis) {
        return state.partitions().stream()
                .map(entry -> new RouterPartition(
                        entry.router(), entry.services(), nowMillis - Math.max(0, entry.ageMillis())))
                .toList();
    }

    /**
     * Returns the message entries of this router's own partition, if there is one, and of the known partitions of others.
     *
     * @param self this router
     * @param report the report of the traffic thread
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static List<RoutingMessage.PartitionEntry> toEntries(FleetRouter self, WorkReport report, long nowMillis) {
        List<RoutingMessage.PartitionEntry> entries = new ArrayList<>();
        if (!report.unreachedServices().isEmpty()) {
            List<String> services = report.unreachedServices().stream()
                    .map(UnreachedService::service)
                    .toList();
            entries.add(new RoutingMessage.PartitionEntry(self.id(), services, 0));
        }
        report.peerPartitions().stream()
                .filter(partition -> !partition.routerId().equals(self.id()))
                .map(partition -> new RoutingMessage.PartitionEntry(
                        partition.routerId(),
                        partition.services(),
                        Math.max(0, nowMillis - partition.observedAtMillis())))
                .forEach(entries::add);
        return entries;
    }
}
