package org.radishpass.routing.report;

/**
 * Combines the observations that several routers made of one endpoint: the load is that of the latest, the slowdown is
 * the mean weighted by samples and age. The result does not depend on the order in which observations are added. A
 * slowdown that the endpoint states takes precedence over measured ones.
 */
final class CombinedObservation {
    private EndpointObservation latest;
    private double weight;
    private double weightedSlowdown;

    CombinedObservation(EndpointObservation first) {
        this.latest = first;
        this.weight = first.samples();
        this.weightedSlowdown = weight * first.slowdownPercent();
    }

    void add(EndpointObservation observation) {
        if (observation.stated() != latest.stated()) {
            if (observation.stated()) {
                latest = observation;
                weight = observation.samples();
                weightedSlowdown = weight * observation.slowdownPercent();
            }
            return;
        }
        if (observation.observedAtMillis() > latest.observedAtMillis()) {
            double kept = latest.weightAt(observation.observedAtMillis()) / latest.samples();
            weight *= kept;
            weightedSlowdown *= kept;
            latest = observation;
        }
        double added = observation.weightAt(latest.observedAtMillis());
        weight += added;
        weightedSlowdown += added * observation.slowdownPercent();
    }

    EndpointObservation result() {
        return new EndpointObservation(
                latest.endpointId(),
                latest.running(),
                latest.waiting(),
                latest.slots(),
                (int) Math.round(weightedSlowdown / weight),
                (int) Math.max(1, Math.round(weight)),
                latest.observedAtMillis());
    }
}
