package org.radishpass.routing.traffic;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fairness.ShareDecision;
import org.radishpass.routing.placement.PlacementChoice;

/** Decides for one request whether the endpoints of its service have the capacity to run it. */
final class CapacityGuard {
    /**
     * Maximum number of endpoints without a free connection at which the request is tried. If they all have none, most
     * others have none either.
     */
    private static final int MAX_ENDPOINTS_WITHOUT_CONNECTION = 8;

    private final TrafficContext context;
    private final ExchangeRecord record;
    private final SendHistory history;
    private int endpointsWithoutConnection;

    /**
     * Creates the guard of one request.
     *
     * @param context the shared state of the traffic event loop
     * @param record the log record of the request
     * @param history the previous sends of the request
     */
    CapacityGuard(TrafficContext context, ExchangeRecord record, SendHistory history) {
        this.context = context;
        this.record = record;
        this.history = history;
    }

    /**
     * Returns why the request is not sent to the chosen endpoint, as a sentence for the caller; null if it may be sent.
     *
     * @param terms the terms of the request
     * @param choice the chosen endpoint
     */
    @Nullable
    String refusal(RequestTerms terms, PlacementChoice choice) {
        ShareDecision decision = shareDecision(terms);
        if (!decision.admitted()) {
            return ShareGuard.BEYOND_SHARE;
        }
        return terms.atQueueLimit(choice, decision) ? "every endpoint of the service is full" : null;
    }

    private ShareDecision shareDecision(RequestTerms terms) {
        ShareDecision decision = record.shareDecision();
        if (decision == null) {
            decision = history.sends() > 0
                    ? ShareDecision.UNCONTENDED
                    : context.shareGuard().decide(terms);
            record.shareDecided(decision);
        }
        return decision;
    }

    /** Counts a refusal for lack of capacity, unless the request may have run. */
    void refused(RequestTerms terms) {
        if (history.notRun()) {
            context.shareGuard().refused(terms);
        }
    }

    /**
     * Counts an endpoint to which this router may open no further connection.
     *
     * @return whether another endpoint may be tried
     */
    boolean noConnectionFree() {
        endpointsWithoutConnection++;
        return endpointsWithoutConnection < MAX_ENDPOINTS_WITHOUT_CONNECTION;
    }

    /** Returns at how many endpoints without a free connection the request may still be tried. */
    int endpointsLeftWithoutConnection() {
        return MAX_ENDPOINTS_WITHOUT_CONNECTION - endpointsWithoutConnection;
    }

    /** Tells whether an endpoint was not used because this router may open no further connection to it. */
    boolean lacksConnections() {
        return endpointsWithoutConnection > 0;
    }
}
