package org.radishpass.routing.performance;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.EndpointLoad;
import org.radishpass.routing.report.EndpointObservation;

/** What this router has observed of one incarnation of an endpoint. */
final class OwnObservations {
    /** The largest plausible slowdown of a response, as a factor. */
    private static final double MAX_RATIO = 20;

    private static final double PERCENT = 100;

    private final String endpointId;
    private final DecayedMean stated = new DecayedMean(EndpointObservation.STATED_DECAY_MILLIS);

    /** The mean logarithm of the ratios, so that a ratio of 2 and one of 1/2 cancel each other. */
    private final DecayedMean measured = new DecayedMean(EndpointObservation.MEASURED_DECAY_MILLIS);

    private @Nullable EndpointLoad lastStated;

    OwnObservations(String endpointId) {
        this.endpointId = endpointId;
    }

    void loadStated(EndpointLoad load, long nowMillis) {
        lastStated = load;
        stated.add(load.slowdownPercent(), nowMillis);
    }

    void ratioMeasured(double ratio, long nowMillis) {
        measured.add(Math.log(Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio))), nowMillis);
    }

    /** Returns the observation to report; null if there is none that is recent. */
    @Nullable
    EndpointObservation observation(long nowMillis) {
        EndpointLoad load = lastStated;
        EndpointObservation observation = load == null ? fromResponseTimes() : fromStatements(load);
        return observation != null && observation.recent(nowMillis) ? observation : null;
    }

    private EndpointObservation fromStatements(EndpointLoad load) {
        return new EndpointObservation(
                endpointId,
                load.running(),
                load.waiting(),
                load.slots(),
                (int) Math.round(stated.mean()),
                samples(stated),
                stated.lastSampleMillis());
    }

    private @Nullable EndpointObservation fromResponseTimes() {
        return measured.weight() == 0
                ? null
                : EndpointObservation.measured(
                        endpointId,
                        (int) Math.round(PERCENT * Math.exp(measured.mean())),
                        samples(measured),
                        measured.lastSampleMillis());
    }

    private static int samples(DecayedMean mean) {
        return (int) Math.max(1, Math.round(mean.weight()));
    }
}
