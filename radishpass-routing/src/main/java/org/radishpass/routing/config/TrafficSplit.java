package org.radishpass.routing.config;

import java.util.List;

/**
 * The services that share a route's requests.
 *
 * @param shares the services with their weights; at least one has a weight above 0
 * @since 0.2.0
 */
public record TrafficSplit(List<Share> shares) {
    /** Copies the shares. */
    public TrafficSplit {
        shares = List.copyOf(shares);
        if (shares.stream().noneMatch(share -> share.weight() > 0)) {
            throw new IllegalArgumentException("a traffic split needs a service with a weight above 0");
        }
    }

    /**
     * Returns a split that sends everything to one service.
     *
     * @param service the service
     */
    public static TrafficSplit all(String service) {
        return new TrafficSplit(List.of(new Share(service, 1)));
    }

    /**
     * Returns the service for a request; the same hash gives the same service while the split stays as it is.
     *
     * @param hash a well mixed hash of what is to be split
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
     * One service's part.
     *
     * @param service the service
     * @param weight its part relative to the other weights, 0 or more
     * @since 0.2.0
     */
    public record Share(String service, double weight) {}
}
