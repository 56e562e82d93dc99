package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.routing.report.EndpointObservation;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ServiceDemand;

/** Maps between the observations in peer messages and those of this module. */
final class ObservationMapper {
    private ObservationMapper() {
        // static methods only
    }

    /**
     * Returns the observations of a state message.
     *
     * @param state the message
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static FleetObservations toObservations(RoutingMessage.RoutingState state, long nowMillis) {
        if (state.demand().isEmpty() && state.loads().isEmpty()) {
            return FleetObservations.NONE;
        }
        return new FleetObservations(
                state.demand().stream().map(ObservationMapper::toDemand).toList(),
                state.loads().stream()
                        .map(entry -> toObservation(entry, nowMillis))
                        .toList());
    }

    private static ServiceDemand toDemand(RoutingMessage.DemandEntry entry) {
        return new ServiceDemand(
                entry.service(),
                entry.workspace(),
                entry.urgency(),
                entry.arrived(),
                entry.sent(),
                entry.completed(),
                entry.refused());
    }

    private static EndpointObservation toObservation(RoutingMessage.LoadEntry entry, long nowMillis) {
        return new EndpointObservation(
                entry.endpointId(),
                entry.running(),
                entry.waiting(),
                entry.slots(),
                entry.slowdownPercent(),
                entry.samples(),
                nowMillis - Math.max(0, entry.ageMillis()));
    }

    /** Returns the message entries of the demand. */
    static List<RoutingMessage.DemandEntry> toDemandEntries(FleetObservations observations) {
        return observations.demand().stream()
                .map(demand -> new RoutingMessage.DemandEntry(
                        demand.service(),
                        demand.workspace(),
                        demand.urgency(),
                        demand.arrived(),
                        demand.sent(),
                        demand.completed(),
                        demand.refused()))
                .toList();
    }

    /**
     * Returns the message entries of the loads of endpoints.
     *
     * @param observations the observations
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static List<RoutingMessage.LoadEntry> toLoadEntries(FleetObservations observations, long nowMillis) {
        return observations.loads().stream()
                .map(load -> new RoutingMessage.LoadEntry(
                        load.endpointId(),
                        load.running(),
                        load.waiting(),
                        load.slots(),
                        load.slowdownPercent(),
                        load.samples(),
                        nowMillis - load.observedAtMillis()))
                .toList();
    }
}
