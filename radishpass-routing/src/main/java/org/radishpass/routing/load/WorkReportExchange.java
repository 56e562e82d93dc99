package org.radishpass.routing.load;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.reachability.RouterPartition;
import org.radishpass.routing.report.FleetObservations;

/**
 * Interface of the traffic thread to the control thread for exchanging reports of the work in flight with peers.
 *
 * @since 0.4.0
 */
public interface WorkReportExchange {
    /**
     * Stores a peer's report.
     *
     * @param peerId the peer
     * @param scope the routers whose work is reported
     * @param work the work by endpoint
     * @param failing the endpoints that fail too often
     * @param observations the demand and the loads of endpoints that are reported
     * @param partitions the services that the peer and other routers do not reach
     */
    void recordPeerReport(
            String peerId,
            WorkScope scope,
            Map<String, InFlight> work,
            List<String> failing,
            FleetObservations observations,
            List<RouterPartition> partitions);

    /**
     * Replaces the known routers. Called whenever they change.
     *
     * @param known all other routers
     * @param unsuspected those that are not suspected to be down
     */
    void routersChanged(List<FleetRouter> known, List<FleetRouter> unsuspected);

    /**
     * Passes a report for other routers to a consumer if this router's own work has changed since the last call, or if
     * the group has other members and what peers reported has changed.
     *
     * @param members the peers whose work this router gathers
     * @param always whether a report is made even if nothing has changed
     * @param consumer receives the report on the traffic thread
     */
    void workReport(List<String> members, boolean always, Consumer<WorkReport> consumer);
}
