package org.radishpass.routing.config;

import java.util.List;

/**
 * Distributes the requests of a route over services by weight.
 *
 * @param shares the services with their weights; at least one has a weight above 0
 * @since 0.2.0
 */
public record TrafficSplit(List<Share> shares) {
    /**
     * Creates a split with a copy of the shares.
     *
     * @throws IllegalArgumentException if no weight is above 0
     */
    public TrafficSplit {
        shares = List.copyOf(shares);
        if (shares.stream().noneMatch(share -> share.weight() > 0)) {
            throw new IllegalArgumentException("a traffic split needs a service with a weight above 0");
        }
    }

    /**
     * Returns a split that sends all requests to one service.
     *
     * @param service the name of the service
     */
    public static TrafficSplit all(String service) {
        return new TrafficSplit(List.of(new Share(service, 1)));
    }

    /**
     * Returns the service for a request. While the split is unchanged, the same hash gives the same service.
     *
     * @param hash a uniformly distributed hash of the request
     */
    public String service(long hash) {
        double total = 0;
        for (Share share : shares) {
            total += share.weight();
        }
        double point = (hash >>> 11) * 0x1.0p-53 * total;
        Share last = shares.get(0);
        for (Share share : shares) {
            if (share.weight() <= 0) {
                continue;
            }
            last = share;
            point -= share.weight();
            if (point < 0) {
                break;
            }
        }
        return last.service();
    }

    /**
     * The weight of one service in a split.
     *
     * @param service the name of the service
     * @param weight the weight relative to the sum of all weights, 0 or more
     * @since 0.2.0
     */
    public record Share(String service, double weight) {}
}
