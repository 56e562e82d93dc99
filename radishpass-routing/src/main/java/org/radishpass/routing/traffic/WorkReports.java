package org.radishpass.routing.traffic;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.load.WorkReportExchange;
import org.radishpass.routing.reachability.RouterPartition;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.FleetObservations;

/**
 * Exchanges reports of the work in flight and of the endpoints with other routers, on behalf of the traffic event loop.
 * May be called from any thread.
 */
final class WorkReports implements WorkReportExchange {
    private final TrafficContext context;

    WorkReports(TrafficContext context) {
        this.context = context;
    }

    @Override
    public void recordPeerReport(
            String peerId,
            WorkScope scope,
            Map<String, InFlight> work,
            List<String> failing,
            FleetObservations reported,
            List<RouterPartition> partitions) {
        context.loop().execute(() -> {
            long nowMillis = context.nowMillis();
            FleetObservations checked = context.shareGuard().checked(peerId, reported);
            context.observations().recordPeerReport(peerId, scope, checked, nowMillis);
            context.inFlight().recordPeerReport(peerId, scope, work, nowMillis);
            context.health().recordReportedFailing(failing, scope, nowMillis);
            context.reachability().recordPeerReport(peerId, partitions);
        });
    }

    @Override
    public void routersChanged(List<FleetRouter> known, List<FleetRouter> unsuspected) {
        context.loop().execute(() -> context.relay().peers().update(known, unsuspected));
    }

    @Override
    public void workReport(List<String> members, boolean always, Consumer<WorkReport> consumer) {
        context.loop().execute(() -> {
            boolean workChanged = !context.inFlight().takeChanges().isEmpty();
            boolean ownChanged = context.reachability().takeChange() || workChanged;
            if (ownChanged || always || (!members.isEmpty() && takePeerChange())) {
                consumer.accept(report(members));
            }
        });
    }

    /**
     * Tells whether members have to be sent what peers reported. Failing endpoints are repeated with each report,
     * because a report of them expires after a second.
     */
    private boolean takePeerChange() {
        boolean workChanged = context.inFlight().takePeerChange();
        boolean observationsChanged = context.observations().takePeerChange();
        boolean partitionsChanged = context.reachability().takePeerChange();
        return workChanged
                || observationsChanged
                || partitionsChanged
                || !context.health().failing(context.nowMillis()).isEmpty();
    }

    private WorkReport report(List<String> members) {
        Map<String, Map<String, InFlight>> withoutMember = new LinkedHashMap<>();
        Map<String, FleetObservations> observationsWithoutMember = new LinkedHashMap<>();
        long nowMillis = context.nowMillis();
        FleetObservationTracker observations = context.observations();
        UnaryOperator<FleetObservations> reported = context.shareGuard().reportFilter(nowMillis);
        FleetObservations all =
                members.isEmpty() ? FleetObservations.NONE : reported.apply(observations.forMembers(nowMillis));
        members.forEach(id -> {
            withoutMember.put(id, context.inFlight().workWithout(id));
            observationsWithoutMember.put(id, observations.without(all, id, nowMillis));
        });
        return new WorkReport(
                context.inFlight().ownWork(),
                context.inFlight().groupWork(),
                withoutMember,
                context.health().failingInGroup(nowMillis),
                context.health().failing(nowMillis),
                reported.apply(observations.own(nowMillis)),
                reported.apply(observations.group(nowMillis)),
                observationsWithoutMember,
                context.reachability().unreachedServices(),
                context.reachability().peers().toReport(nowMillis));
    }
}
