package org.radishpass.routing.fairness;

import java.util.Locale;

/**
 * The decision on one request by the share of its class, with the figures that explain it.
 *
 * @param basis on what the decision rests
 * @param fraction the fraction of the arrivals of the class that is admitted
 * @param allocated the requests of the class that the fleet is to admit, per second
 * @param demand the requests of the class that arrive at the fleet, per second
 * @param capacity the estimated capacity of the service, in requests per second
 * @param ageMillis the age of the latest report on which the sums rest, in milliseconds; -1 without a report
 * @since 0.8.0
 */
public record ShareDecision(
        Basis basis, double fraction, double allocated, double demand, double capacity, long ageMillis) {
    /** The decision on a request of a service that is not contended. */
    public static final ShareDecision UNCONTENDED = new ShareDecision(Basis.UNCONTENDED, 1, 0, 0, 0, -1);

    /** Tells whether the request is admitted. */
    public boolean admitted() {
        return basis != Basis.REFUSED;
    }

    /**
     * Tells whether the queue limit of an endpoint may be exceeded to some extent: the fleet sends no more than the
     * capacity, and the work in flight known here is off by up to 10 requests. Not without current reports of peers.
     */
    public boolean extendsQueueLimit() {
        return basis == Basis.WITHIN_SHARE && ageMillis >= 0;
    }

    /** Returns the decision as written to the log; empty for a service that is not contended. */
    public String text() {
        return basis == Basis.UNCONTENDED
                ? ""
                : String.format(
                        Locale.ROOT,
                        "%s fraction %.2f allocated %.1f demand %.1f capacity %.1f age %d",
                        basis.text(),
                        fraction,
                        allocated,
                        demand,
                        capacity,
                        ageMillis);
    }

    /**
     * On what a decision rests.
     *
     * @since 0.8.0
     */
    public enum Basis {
        /** The service is not contended. */
        UNCONTENDED("uncontended"),
        /** The request is within the share of its class. */
        WITHIN_SHARE("within"),
        /** The request is beyond the share, but under half of the slots are in use. */
        FREE_SLOTS("free"),
        /** The request is beyond the share. */
        REFUSED("beyond");

        private final String text;

        Basis(String text) {
            this.text = text;
        }

        /** Returns the name of the basis as written in the log. */
        public String text() {
            return text;
        }
    }
}
