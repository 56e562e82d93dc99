package org.radishpass.routing.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ObservationSource;
import org.radishpass.routing.report.ServiceDemand;

/**
 * Counts the requests of this router for each service by workspace and urgency, and supplies the rates of contended
 * services for reports to other routers.
 *
 * @since 0.8.0
 */
public final class DemandCounter implements ObservationSource {
    /**
     * Maximum number of entries in a report; further workspaces are counted together. With names of at most {@link
     * #MAX_NAME_LENGTH} characters a report takes at most 9 KB.
     */
    static final int MAX_REPORTED = 48;

    /** Maximum length of a name in a report, in characters. */
    static final int MAX_NAME_LENGTH = 64;

    /** Maximum number of classes that are counted; the requests of further ones are counted together. */
    private static final int MAX_COUNTED = 512;

    /** The time without a request after which a class is no longer counted, in milliseconds. */
    private static final long IDLE_MILLIS = 30_000;

    private final Map<ServiceDemand.Key, Counts> counts = new HashMap<>();
    private final Map<String, Long> contendedUntilMillis = new HashMap<>();

    /**
     * Returns the counts of a class of requests.
     *
     * @param service the service
     * @param requestClass the class of requests
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    Counts of(String service, RequestClass requestClass, long nowMillis) {
        ServiceDemand.Key key = key(service, requestClass);
        Counts known = counts.get(key);
        if (known == null) {
            if (counts.size() >= MAX_COUNTED) {
                counts.values().removeIf(entry -> nowMillis - entry.usedAtMillis > IDLE_MILLIS);
            }
            known = counts.computeIfAbsent(
                    counts.size() < MAX_COUNTED ? key : key(service, requestClass.merged()), absent -> new Counts());
        }
        known.usedAtMillis = nowMillis;
        return known;
    }

    /**
     * Records that a service is contended.
     *
     * @param service the service
     * @param untilMillis until when it counts as contended unless recorded again, on the monotonic clock in
     *     milliseconds
     */
    void contended(String service, long untilMillis) {
        contendedUntilMillis.merge(service, untilMillis, Math::max);
    }

    /** Forgets all counts, and which services are contended. */
    void clear() {
        counts.clear();
        contendedUntilMillis.clear();
    }

    /** Tells whether a service is contended. */
    boolean isContended(String service, long nowMillis) {
        Long until = contendedUntilMillis.get(service);
        return until != null && nowMillis < until;
    }

    /** Returns the names of the contended services. */
    List<String> contendedServices(long nowMillis) {
        if (contendedUntilMillis.isEmpty()) {
            return List.of();
        }
        contendedUntilMillis.values().removeIf(until -> nowMillis >= until);
        return List.copyOf(contendedUntilMillis.keySet());
    }

    /** Returns the demand for the contended services. */
    @Override
    public FleetObservations observations(long nowMillis) {
        if (contendedServices(nowMillis).isEmpty()) {
            return FleetObservations.NONE;
        }
        List<ServiceDemand> demand = new ArrayList<>();
        counts.forEach((key, entry) -> {
            if (isContended(key.service(), nowMillis) && key.service().length() <= MAX_NAME_LENGTH) {
                demand.add(entry.demand(key, nowMillis));
            }
        });
        return new FleetObservations(bounded(demand), List.of());
    }

    private static List<ServiceDemand> bounded(List<ServiceDemand> demand) {
        boolean namesFit = demand.stream().allMatch(entry -> entry.workspace().length() <= MAX_NAME_LENGTH);
        if (namesFit && demand.size() <= MAX_REPORTED) {
            return demand;
        }
        demand.sort(Comparator.comparingDouble(ServiceDemand::arrived).reversed());
        Map<ServiceDemand.Key, ServiceDemand> reported = new LinkedHashMap<>();
        int single = 0;
        for (ServiceDemand entry : demand) {
            boolean separate = entry.workspace().length() <= MAX_NAME_LENGTH && single < MAX_REPORTED / 2;
            single += separate ? 1 : 0;
            ServiceDemand counted = separate ? entry : merged(entry);
            if (separate || reported.size() < MAX_REPORTED || reported.containsKey(counted.key())) {
                reported.merge(counted.key(), counted, ServiceDemand::plus);
            }
        }
        return new ArrayList<>(reported.values());
    }

    private static ServiceDemand merged(ServiceDemand entry) {
        return new ServiceDemand(
                entry.service(),
                "",
                entry.urgency(),
                entry.arrived(),
                entry.sent(),
                entry.completed(),
                entry.refused());
    }

    private static ServiceDemand.Key key(String service, RequestClass requestClass) {
        return new ServiceDemand.Key(service, requestClass.workspace(), requestClass.urgency());
    }

    /** The counts of one class of requests of one service. */
    static final class Counts {
        private final DecayedRate arrived = new DecayedRate();
        private final DecayedRate sent = new DecayedRate();
        private final DecayedRate completed = new DecayedRate();
        private final DecayedRate refused = new DecayedRate();
        private long usedAtMillis;

        DecayedRate arrived() {
            return arrived;
        }

        DecayedRate sent() {
            return sent;
        }

        DecayedRate completed() {
            return completed;
        }

        DecayedRate refused() {
            return refused;
        }

        private ServiceDemand demand(ServiceDemand.Key key, long nowMillis) {
            return new ServiceDemand(
                    key.service(),
                    key.workspace(),
                    key.urgency(),
                    arrived.perSecond(nowMillis),
                    sent.perSecond(nowMillis),
                    completed.perSecond(nowMillis),
                    refused.perSecond(nowMillis));
        }
    }
}
