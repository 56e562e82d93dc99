package org.radishpass.routing.load;

import java.util.List;
import java.util.Map;
import org.radishpass.routing.reachability.RouterPartition;
import org.radishpass.routing.reachability.UnreachedService;
import org.radishpass.routing.report.FleetObservations;

/**
 * The work in flight and the failing endpoints that the traffic thread reports to other routers.
 *
 * @param own this router's own work, by endpoint
 * @param group the sum of this router's work and of the work of the members of its group, by endpoint
 * @param withoutMember for each member, all known work except the member's own, by endpoint
 * @param failing the endpoints that fail too often, as seen by this router or by a member of its group
 * @param allFailing the endpoints that fail too often, as seen by any router
 * @param ownObservations this router's own observations
 * @param groupObservations the observations of this router and of the members of its group
 * @param observationsWithoutMember for each member, the observations of all routers without the member's own demand
 * @param unreachedServices the services of which this router reaches no endpoint
 * @param peerPartitions the services that other routers do not reach, as far as is known
 * @since 0.3.0
 */
public record WorkReport(
        Map<String, InFlight> own,
        Map<String, InFlight> group,
        Map<String, Map<String, InFlight>> withoutMember,
        List<String> failing,
        List<String> allFailing,
        FleetObservations ownObservations,
        FleetObservations groupObservations,
        Map<String, FleetObservations> observationsWithoutMember,
        List<UnreachedService> unreachedServices,
        List<RouterPartition> peerPartitions) {}
