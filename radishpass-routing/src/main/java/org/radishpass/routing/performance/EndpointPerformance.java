package org.radishpass.routing.performance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.radishpass.routing.dialect.EndpointLoad;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.report.EndpointObservation;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ObservationSource;

/**
 * Estimates how fast each endpoint currently is. Figures that endpoints state in their responses are preferred; an
 * endpoint that states none is assessed by the times to the first event of its responses, compared with those of its
 * service. All state is kept by the id of the incarnation. Confined to the traffic thread.
 *
 * <p>Nothing is reported to other routers until an endpoint states its slowdown or differs measurably.
 *
 * @since 0.8.0
 */
public final class EndpointPerformance implements ObservationSource {
    /** The maximum number of endpoints in one report; a report then has at most about 13 KB. */
    static final int MAX_REPORTED = 256;

    /** The time for which the combined observations of the fleet are used, in milliseconds: peers report as often. */
    private static final long REFRESH_MILLIS = 100;

    /** The time for which observations are reported after the last sign that endpoints differ, in milliseconds. */
    private static final long REPORTING_MILLIS = 10_000;

    /** The number of responses of a service before response times are compared with the expected time. */
    private static final int MIN_RESPONSES = 50;

    /** The maximum numbers of endpoints and services; above it the state is discarded. */
    private static final int MAX_ENTRIES = 4_096;

    private final Map<String, OwnObservations> own = new HashMap<>();
    private final Map<String, FirstEventModel> models = new HashMap<>();
    private final Map<String, EndpointSpeed> speeds = new HashMap<>();
    private final Map<String, Boolean> uneven = new HashMap<>();
    private PlacementMethod method = PlacementMethod.DEFAULT;
    private LongFunction<List<EndpointObservation>> fleetLoads = nowMillis -> ownLoads(nowMillis);
    private boolean refreshed;
    private long refreshAtMillis;
    private boolean reporting;
    private long reportUntilMillis;
    private long invalidLoads;

    /**
     * Sets the source of the observations of all routers, including this router. Without it, only the observations of
     * this router count.
     *
     * @param loads returns the observations at a time on the monotonic clock in milliseconds
     */
    public void fleetLoads(LongFunction<List<EndpointObservation>> loads) {
        this.fleetLoads = loads;
    }

    /**
     * Sets the method of placing requests. If it disregards the speed of endpoints, nothing is reported.
     *
     * @param newMethod the method
     */
    public void method(PlacementMethod newMethod) {
        this.method = newMethod;
    }

    /** Returns the method of placing requests. */
    public PlacementMethod method() {
        return method;
    }

    /**
     * Records a load that an endpoint has reported.
     *
     * @param endpoint the endpoint
     * @param load the load
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void loadReceived(ServiceEndpoint endpoint, EndpointLoad load, long nowMillis) {
        if (load.statesSlowdown()) {
            ownOf(endpoint).loadStated(load, nowMillis);
            report(nowMillis);
        }
    }

    /** Counts a reported load that is ignored because it is malformed or implausible. */
    public void invalidLoadReceived() {
        invalidLoads++;
    }

    /** Returns the number of ignored loads. */
    public long invalidLoads() {
        return invalidLoads;
    }

    /**
     * Records the time to the first event of a successful response.
     *
     * @param endpoint the endpoint
     * @param tokensRead the prompt tokens that the endpoint probably read
     * @param millis the time from sending the request to the first event, in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void firstEvent(ServiceEndpoint endpoint, int tokensRead, long millis, long nowMillis) {
        FirstEventModel model = model(endpoint.service());
        EndpointSpeed speed = speed(endpoint, nowMillis);
        if (!speed.stated() && model.samples() >= MIN_RESPONSES) {
            ownOf(endpoint).ratioMeasured((millis + 1) / (model.expectedMillis(tokensRead) + 1), nowMillis);
        }
        model.add(tokensRead, millis / speed.slowdown());
    }

    /**
     * Returns the speed of an endpoint.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public EndpointSpeed speed(ServiceEndpoint endpoint, long nowMillis) {
        refresh(nowMillis);
        return speeds.getOrDefault(endpoint.id(), EndpointSpeed.USUAL);
    }

    /**
     * Tells whether the speed of any endpoint of a service is known, so that placement takes it into account.
     *
     * @param endpoints endpoints of one service
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean uneven(List<ServiceEndpoint> endpoints, long nowMillis) {
        refresh(nowMillis);
        if (!method.weighsSpeed() || speeds.isEmpty() || endpoints.isEmpty()) {
            return false;
        }
        String service = endpoints.get(0).service();
        Boolean known = uneven.get(service);
        if (known == null) {
            known = anyKnown(endpoints);
            uneven.put(service, known);
        }
        return known;
    }

    private boolean anyKnown(List<ServiceEndpoint> endpoints) {
        for (ServiceEndpoint endpoint : endpoints) {
            if (speeds.containsKey(endpoint.id())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the time to the first event that is usual for a service, in milliseconds.
     *
     * @param service the service
     * @param tokensToRead the prompt tokens that must be read
     */
    public double expectedMillis(String service, int tokensToRead) {
        return model(service).expectedMillis(tokensToRead);
    }

    /**
     * Returns the time that the endpoints of a service usually take to read prompt tokens, in milliseconds.
     *
     * @param service the service
     * @param tokens the prompt tokens
     */
    public double readingMillis(String service, int tokens) {
        return model(service).readingMillis(tokens);
    }

    /** Returns the number of endpoints whose speed was known when it was last used. */
    public int knownEndpoints() {
        return speeds.size();
    }

    @Override
    public FleetObservations observations(long nowMillis) {
        List<EndpointObservation> loads = ownLoads(nowMillis);
        return loads.isEmpty() ? FleetObservations.NONE : new FleetObservations(List.of(), loads);
    }

    private List<EndpointObservation> ownLoads(long nowMillis) {
        if (own.isEmpty() || !method.weighsSpeed()) {
            return List.of();
        }
        List<EndpointObservation> loads = new ArrayList<>();
        for (OwnObservations observations : own.values()) {
            EndpointObservation observation = observations.observation(nowMillis);
            if (observation != null && loads.size() < MAX_REPORTED) {
                loads.add(observation);
                if (!observation.stated()
                        && EndpointSpeed.of(observation, nowMillis).known()) {
                    report(nowMillis);
                }
            }
        }
        return reporting && nowMillis < reportUntilMillis ? loads : List.of();
    }

    /**
     * Removes the endpoints that are no longer listed.
     *
     * @param directory the listed endpoints
     */
    public void retain(EndpointDirectory directory) {
        own.keySet().removeIf(id -> directory.find(id).isEmpty());
    }

    private void report(long nowMillis) {
        reporting = true;
        reportUntilMillis = nowMillis + REPORTING_MILLIS;
    }

    private void refresh(long nowMillis) {
        if (refreshed && nowMillis < refreshAtMillis) {
            return;
        }
        refreshed = true;
        refreshAtMillis = nowMillis + REFRESH_MILLIS;
        speeds.clear();
        uneven.clear();
        for (EndpointObservation observation : fleetLoads.apply(nowMillis)) {
            EndpointSpeed speed =
                    observation.recent(nowMillis) ? EndpointSpeed.of(observation, nowMillis) : EndpointSpeed.USUAL;
            if (speed.known()) {
                speeds.put(observation.endpointId(), speed);
                report(nowMillis);
            }
        }
    }

    private FirstEventModel model(String service) {
        FirstEventModel model = models.get(service);
        if (model == null) {
            if (models.size() >= MAX_ENTRIES) {
                models.clear();
            }
            model = new FirstEventModel();
            models.put(service, model);
        }
        return model;
    }

    private OwnObservations ownOf(ServiceEndpoint endpoint) {
        OwnObservations observations = own.get(endpoint.id());
        if (observations == null) {
            if (own.size() >= MAX_ENTRIES) {
                own.clear();
            }
            observations = new OwnObservations(endpoint.id());
            own.put(endpoint.id(), observations);
        }
        return observations;
    }
}
