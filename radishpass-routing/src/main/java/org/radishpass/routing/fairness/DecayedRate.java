package org.radishpass.routing.fairness;

/** The rate of events, weighted by an exponential decay so that recent events count most. */
final class DecayedRate {
    /**
     * The decay time in milliseconds. A router that sees 1.5 requests/s needs about this long for a usable rate, and
     * the sums over the fleet must follow a change within a few seconds.
     */
    static final double DECAY_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double count;
    private long countedAtMillis;

    /** Counts an event. */
    void add(long nowMillis) {
        count = decayed(nowMillis) + 1;
        countedAtMillis = Math.max(countedAtMillis, nowMillis);
    }

    /** Returns the events per second. */
    double perSecond(long nowMillis) {
        return decayed(nowMillis) * MILLIS_PER_SECOND / DECAY_MILLIS;
    }

    private double decayed(long nowMillis) {
        return count == 0 ? 0 : count * Math.exp(-Math.max(0, nowMillis - countedAtMillis) / DECAY_MILLIS);
    }
}
