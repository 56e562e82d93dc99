package org.radishpass.routing.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.radishpass.routing.report.ServiceDemand;

/**
 * Divides the capacity of a service: first a minimum for every class of requests, then by urgency, and within an
 * urgency by max-min fairness between workspaces of equal weight. What a class does not use is left to the others.
 */
final class ShareAllocation {
    /**
     * The fraction of the overall share served that every class gets. Callers are promised a quarter; the rest makes up
     * for rates that lag.
     */
    static final double MIN_RELATIVE_SHARE = 0.3;

    /** Maximum number of steps of the bisection. */
    private static final int BISECTION_STEPS = 40;

    /** The relative error of the sum of the rates at which the bisection ends. */
    private static final double PRECISION = 1e-6;

    private final Map<RequestClass, Share> shares = new HashMap<>();
    private final double capacity;

    private ShareAllocation(double capacity) {
        this.capacity = capacity;
    }

    /**
     * Divides a capacity.
     *
     * @param capacity the capacity in requests per second
     * @param demand the demand of the service, at most one entry for each workspace and urgency
     */
    static ShareAllocation of(double capacity, List<ServiceDemand> demand) {
        ShareAllocation allocation = new ShareAllocation(capacity);
        double total = demand.stream().mapToDouble(ServiceDemand::arrived).sum();
        if (total <= 0) {
            return allocation;
        }
        double minimum = MIN_RELATIVE_SHARE * Math.min(1, capacity / total);
        double left = Math.max(0, capacity - minimum * total);
        TreeMap<Integer, List<ServiceDemand>> byUrgency = new TreeMap<>();
        demand.forEach(entry -> byUrgency
                .computeIfAbsent(entry.urgency(), urgency -> new ArrayList<>())
                .add(entry));
        for (List<ServiceDemand> equal : byUrgency.values()) {
            left -= allocation.allocate(equal, minimum, left);
        }
        return allocation;
    }

    /**
     * Allocates to the workspaces of one urgency: each gets what it asks for up to a level that is the same for all, and
     * never less than the minimum.
     *
     * @return what was allocated beyond the minimum, in requests per second
     */
    private double allocate(List<ServiceDemand> equal, double minimum, double left) {
        double demand = equal.stream().mapToDouble(ServiceDemand::arrived).sum();
        double level = level(equal, minimum, Math.min(demand, left + minimum * demand));
        double allocated = 0;
        for (ServiceDemand entry : equal) {
            double rate = rate(entry, minimum, level);
            allocated += rate - minimum * entry.arrived();
            shares.put(new RequestClass(entry.workspace(), entry.urgency()), new Share(entry.arrived(), rate));
        }
        return Math.min(left, allocated);
    }

    /** Returns the level at which the rates of the workspaces add up to what is available, by bisection. */
    private static double level(List<ServiceDemand> equal, double minimum, double available) {
        double low = 0;
        double high = equal.stream().mapToDouble(ServiceDemand::arrived).max().orElse(0);
        if (equal.size() == 1) {
            return available;
        }
        if (available >= equal.stream().mapToDouble(ServiceDemand::arrived).sum()) {
            return high;
        }
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            double sum = 0;
            for (ServiceDemand entry : equal) {
                sum += rate(entry, minimum, middle);
            }
            if (Math.abs(sum - available) <= PRECISION * available) {
                return middle;
            }
            if (sum <= available) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private static double rate(ServiceDemand entry, double minimum, double level) {
        return Math.max(minimum * entry.arrived(), Math.min(entry.arrived(), level));
    }

    /** Returns the capacity that was divided, in requests per second. */
    double capacity() {
        return capacity;
    }

    /**
     * Returns the share of a class of requests. A class without recorded demand gets the share of the merged class of
     * its urgency, or else all that it asks for, since it asks for little.
     */
    Share of(RequestClass requestClass) {
        Share share = shares.get(requestClass);
        if (share == null) {
            share = shares.get(requestClass.merged());
        }
        return share == null ? Share.WHOLE : share;
    }

    /**
     * The share of one class of requests.
     *
     * @param demand the requests that arrive, per second
     * @param allocated the requests that are to be admitted, per second
     */
    record Share(double demand, double allocated) {
        /** The share of a class without recorded demand. */
        static final Share WHOLE = new Share(0, 0);

        /** Returns the fraction of the arrivals that is admitted. */
        double fraction() {
            return demand <= 0 ? 1 : Math.min(1, allocated / demand);
        }
    }
}
