package org.radishpass.routing.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.ObservationSource;
import org.radishpass.routing.report.ServiceDemand;

/**
 * Decides at one router which requests of a contended service are admitted, by the shares of their workspaces and
 * urgencies in the demand of the whole fleet. While a service is not contended, every request is admitted.
 *
 * <p>Each router admits the same fraction of its own arrivals of a class. The part of a router in the allocated rate is
 * thus its part of the arrivals, without a rate of its own having to be known. Confined to the traffic thread.
 *
 * @since 0.8.0
 */
public final class ServiceShares {
    /** Milliseconds between samples of the work in flight, at which {@link #refresh} should be called. */
    public static final long REFRESH_MILLIS = 100;

    /** Milliseconds between allocations; reports of peers arrive about as often. */
    private static final long ALLOCATION_MILLIS = 200;

    /** The time for which a service counts as contended after a refusal, in milliseconds. */
    private static final long CONTENDED_MILLIS = 3_000;

    /** The part of the arrivals of the fleet whose refusal keeps a service contended. */
    private static final double CONTENDED_REFUSED_FRACTION = 0.01;

    /** The refusals per second of the fleet that keep a service contended at least. */
    private static final double CONTENDED_MIN_REFUSED = 0.3;

    private static final long MIN_WAIT_MILLIS = 100;
    private static final long MAX_WAIT_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final DemandCounter counter = new DemandCounter();
    private final FleetObservationTracker observations;
    private final Function<String, ServiceLoad> loads;
    private final Map<String, ContendedService> contended = new HashMap<>();
    private final long seed;
    private boolean enabled = true;
    private long allocateAtMillis = Long.MIN_VALUE;

    /**
     * Creates shares of services that are not contended.
     *
     * @param observations the demand of the fleet; must combine the {@link #source} of these shares
     * @param loads returns the work in flight of a service
     * @param seed differs between routers, so that they do not all admit their first request of a class
     */
    public ServiceShares(FleetObservationTracker observations, Function<String, ServiceLoad> loads, long seed) {
        this.observations = observations;
        this.loads = loads;
        this.seed = seed;
    }

    /** Enables or disables the shares. Disabled shares admit every request and report no demand. */
    public void enabled(boolean newEnabled) {
        this.enabled = newEnabled;
        if (!newEnabled) {
            contended.clear();
            counter.clear();
        }
    }

    /** Returns the source of this router's own demand for reports. */
    public ObservationSource source() {
        return counter;
    }

    /** Returns the names of the contended services. */
    public List<String> contendedServices() {
        return new ArrayList<>(contended.keySet());
    }

    /** Records that a request has arrived. */
    public void arrived(String service, RequestClass requestClass, long nowMillis) {
        counter.of(service, requestClass, nowMillis).arrived().add(nowMillis);
    }

    /** Records that a request has been sent to an endpoint. */
    public void sent(String service, RequestClass requestClass, long nowMillis) {
        counter.of(service, requestClass, nowMillis).sent().add(nowMillis);
    }

    /** Records that an endpoint has completed the response to a request. */
    public void completed(String service, RequestClass requestClass, long nowMillis) {
        counter.of(service, requestClass, nowMillis).completed().add(nowMillis);
    }

    /** Records that a request has been refused for lack of capacity, by its share or by another limit. */
    public void refused(String service, RequestClass requestClass, long nowMillis) {
        counter.of(service, requestClass, nowMillis).refused().add(nowMillis);
        markContended(service, nowMillis);
    }

    /** Records that an endpoint has rejected a request without running it because the endpoint is full. */
    public void rejected(String service, long nowMillis) {
        markContended(service, nowMillis);
        ContendedService state = contended.get(service);
        if (state != null) {
            state.capacity.rejected(nowMillis);
        }
    }

    /**
     * Decides whether a request that has arrived is admitted. To be called once for each request.
     *
     * @param service the service
     * @param requestClass the class of the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public ShareDecision decide(String service, RequestClass requestClass, long nowMillis) {
        ContendedService state = contended.get(service);
        if (state == null) {
            return ShareDecision.UNCONTENDED;
        }
        ShareAllocation.Share share = state.allocation.of(requestClass);
        ShareDecision.Basis basis = ShareDecision.Basis.WITHIN_SHARE;
        if (!state.admits(requestClass, share.fraction())) {
            basis = state.slotsFree(loads.apply(service), nowMillis)
                    ? ShareDecision.Basis.FREE_SLOTS
                    : ShareDecision.Basis.REFUSED;
        }
        return new ShareDecision(
                basis,
                share.fraction(),
                share.allocated(),
                share.demand(),
                state.allocation.capacity(),
                state.demandAtMillis < 0 ? -1 : nowMillis - state.demandAtMillis);
    }

    /**
     * Returns the time in which the capacity allocated to a class of requests could serve those that were refused
     * within the last second, in milliseconds from 100 to 5,000; 100 for a service that is not contended.
     *
     * @param service the service
     * @param requestClass the class of requests
     */
    public long millisUntilCapacity(String service, RequestClass requestClass) {
        ContendedService state = contended.get(service);
        if (state == null) {
            return MIN_WAIT_MILLIS;
        }
        double fraction = state.allocation.of(requestClass).fraction();
        double millis = fraction <= 0 ? MAX_WAIT_MILLIS : MILLIS_PER_SECOND * (1 - fraction) / fraction;
        return Math.round(Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, millis)));
    }

    /**
     * Samples the work in flight of the contended services, and allocates anew if due.
     *
     * @param routers the number of routers of the fleet, including this one
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void refresh(int routers, long nowMillis) {
        if (!enabled) {
            return;
        }
        if (nowMillis >= allocateAtMillis) {
            allocateAtMillis = nowMillis + ALLOCATION_MILLIS;
            allocate(routers, nowMillis);
        }
        contended.forEach((service, state) -> state.capacity.sample(loads.apply(service), nowMillis));
    }

    private void allocate(int routers, long nowMillis) {
        Map<String, List<ServiceDemand>> byService = new HashMap<>();
        observations
                .all(nowMillis)
                .demand()
                .forEach(entry -> byService
                        .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                        .add(entry));
        byService.forEach((service, demand) -> {
            double arrived = demand.stream().mapToDouble(ServiceDemand::arrived).sum();
            double refused = demand.stream().mapToDouble(ServiceDemand::refused).sum();
            if (refused > Math.max(CONTENDED_MIN_REFUSED, CONTENDED_REFUSED_FRACTION * arrived)) {
                markContended(service, nowMillis);
            }
        });
        contended.keySet().removeIf(service -> !counter.isContended(service, nowMillis));
        OptionalLong demandAgeMillis = observations.demandAgeMillis(nowMillis);
        boolean isolated = routers > 1 && !observations.hasPeerReports(nowMillis);
        contended.forEach((service, state) -> {
            List<ServiceDemand> demand = byService.getOrDefault(service, List.of());
            double arrived = demand.stream().mapToDouble(ServiceDemand::arrived).sum();
            double completed =
                    demand.stream().mapToDouble(ServiceDemand::completed).sum();
            state.demandAtMillis = demandAgeMillis.isPresent() ? nowMillis - demandAgeMillis.getAsLong() : -1;
            state.hiddenRouters = isolated ? routers : 1;
            state.allocation =
                    ShareAllocation.of(state.capacity.update(arrived, completed, isolated, nowMillis), demand);
        });
    }

    private void markContended(String service, long nowMillis) {
        if (enabled) {
            counter.contended(service, nowMillis + CONTENDED_MILLIS);
            contended.computeIfAbsent(service, absent -> {
                allocateAtMillis = nowMillis;
                ContendedService state = new ContendedService(Rendezvous.hash(service) ^ seed);
                state.capacity.sample(loads.apply(service), nowMillis);
                return state;
            });
        }
    }

    /** The state of one contended service. */
    private static final class ContendedService {
        private static final double WHOLE_CREDIT = 1 - 1e-9;

        private final ServiceCapacity capacity = new ServiceCapacity();
        private final Map<RequestClass, Double> credits = new HashMap<>();
        private final long seed;
        private ShareAllocation allocation = ShareAllocation.of(0, List.of());

        /** The routers whose work in flight is not known here, including this one; 1 if all of it is known. */
        private int hiddenRouters = 1;

        /** When the latest demand of a peer was received on which the allocation rests; -1 without any. */
        private long demandAtMillis = -1;

        private ContendedService(long seed) {
            this.seed = seed;
        }

        /**
         * Adds the fraction to the credit of the class, and takes a whole credit if there is one. The number of admitted
         * requests thus never differs from the fraction of the arrivals by more than one.
         */
        private boolean admits(RequestClass requestClass, double fraction) {
            Double known = credits.get(requestClass);
            double credit = fraction + (known == null ? initialCredit(requestClass) : known);
            boolean admitted = credit >= WHOLE_CREDIT;
            credits.put(requestClass, admitted ? credit - 1 : credit);
            return admitted;
        }

        /**
         * Tells whether a request is admitted because under half of the slots are in use. If the work of other routers
         * is not known, a recent rejection shows that they are in use.
         */
        private boolean slotsFree(ServiceLoad load, long nowMillis) {
            return load.underHalfUsed(hiddenRouters) && (hiddenRouters == 1 || !capacity.recentlyRejected(nowMillis));
        }

        private double initialCredit(RequestClass requestClass) {
            long hash = Rendezvous.hash(requestClass.workspace() + requestClass.urgency()) ^ seed;
            return (Rendezvous.hash(Long.toHexString(hash)) >>> 11) * 0x1.0p-53;
        }
    }
}
