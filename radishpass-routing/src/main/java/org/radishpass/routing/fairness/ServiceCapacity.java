package org.radishpass.routing.fairness;

/**
 * Estimates how many requests per second the endpoints of a contended service complete. The estimate is what they
 * complete now, corrected so that the work in flight approaches its target: free slots raise it, a queue lowers it.
 */
final class ServiceCapacity {
    /**
     * The decay time of the mean work in flight, in milliseconds. A single estimate is off by up to 10 requests at 69
     * routers, because reports are 100 to 300 ms old; the mean over this time is off by about 2.
     */
    private static final double LOAD_DECAY_MILLIS = 500;

    /**
     * The time within which a deviation of the work in flight from its target is corrected, in seconds. Reports and the
     * mean take about 0.8 s; a shorter correction would oscillate.
     */
    private static final double CORRECTION_SECONDS = 1;

    /** The largest correction for slots that were added; a fleet that lost all its endpoints starts from few slots. */
    private static final double MAX_SLOT_GROWTH = 4;

    /** The factor by which a rejection by an endpoint lowers the estimate. */
    private static final double REJECTION_FACTOR = 0.9;

    /** The smallest factor after repeated rejections. */
    private static final double MIN_REJECTION_FACTOR = 0.5;

    /** Milliseconds during which further rejections belong to the same overload. */
    private static final long REJECTION_INTERVAL_MILLIS = 300;

    /** The increase of the factor while no endpoint rejects requests, per millisecond. */
    private static final double RECOVERY_PER_MILLI = 0.000_1;

    /**
     * The growth that is tried while other routers do not report. Without any growth, each dip in arrivals would lower
     * the estimate for good.
     */
    private static final double ISOLATED_GROWTH = 1.05;

    /**
     * The time within which completions lower the estimate while all slots are in use, in milliseconds. With 1 s, random
     * dips in completions lowered it so far that slots were unused for up to 12 % of 20 s.
     */
    private static final double BASE_DECAY_MILLIS = 4_000;

    /**
     * The smallest ratio of two successive sums of decayed rates that fewer arrivals can cause. A smaller one shows
     * that routers are missing from the sums: the remaining ones have only their part of the capacity.
     */
    private static final double MIN_STEP = 0.7;

    /** Milliseconds for which a rejection shows that the slots are in use. */
    private static final long RECENT_REJECTION_MILLIS = 3_000;

    private double meanLoad;
    private double meanSlots;
    private ServiceLoad load = new ServiceLoad(0, 0, 0);
    private long sampledAtMillis = Long.MIN_VALUE;
    private double factor = 1;
    private long rejectedAtMillis = -RECENT_REJECTION_MILLIS;
    private double base;
    private int baseSlots;
    private double arrivedBefore;
    private long updatedAtMillis = Long.MIN_VALUE;

    /** Takes a sample of the work in flight. */
    void sample(ServiceLoad newLoad, long nowMillis) {
        load = newLoad;
        if (sampledAtMillis == Long.MIN_VALUE) {
            meanLoad = newLoad.inFlight();
            meanSlots = newLoad.slots();
        } else {
            long elapsedMillis = Math.max(0, nowMillis - sampledAtMillis);
            meanLoad += (newLoad.inFlight() - meanLoad) * (1 - Math.exp(-elapsedMillis / LOAD_DECAY_MILLIS));
            meanSlots += (newLoad.slots() - meanSlots) * (1 - Math.exp(-elapsedMillis / DecayedRate.DECAY_MILLIS));
            factor = Math.min(1, factor + elapsedMillis * RECOVERY_PER_MILLI);
        }
        sampledAtMillis = nowMillis;
    }

    /** Records that an endpoint rejected a request because it was full. */
    void rejected(long nowMillis) {
        if (nowMillis - rejectedAtMillis >= REJECTION_INTERVAL_MILLIS) {
            rejectedAtMillis = nowMillis;
            factor = Math.max(MIN_REJECTION_FACTOR, factor * REJECTION_FACTOR);
        }
    }

    /** Tells whether an endpoint rejected a request within the last seconds. */
    boolean recentlyRejected(long nowMillis) {
        return nowMillis - rejectedAtMillis < RECENT_REJECTION_MILLIS;
    }

    /**
     * Updates and returns the estimated capacity in requests per second.
     *
     * @param arrived the requests that arrive at all known routers, per second
     * @param completed the requests completed by all known routers, per second
     * @param isolated whether other routers exist but do not report
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    double update(double arrived, double completed, boolean isolated, long nowMillis) {
        // Completions decay like the mean of the slots, so that their ratio holds while endpoints come and go.
        double slotGrowth = meanSlots <= 0 ? 1 : Math.min(MAX_SLOT_GROWTH, load.slots() / meanSlots);
        double scaled = completed * slotGrowth;
        if (isolated) {
            base = scaled;
            return scaled * ISOLATED_GROWTH * factor;
        }
        long elapsedMillis = updatedAtMillis == Long.MIN_VALUE ? 0 : nowMillis - updatedAtMillis;
        updatedAtMillis = nowMillis;
        if (load.slots() != baseSlots) {
            base = baseSlots <= 0 ? scaled : Math.min(base * load.slots() / baseSlots, scaled * MAX_SLOT_GROWTH);
            baseSlots = load.slots();
        }
        if (arrived < arrivedBefore * MIN_STEP) {
            base = Math.max(scaled, base * arrived / arrivedBefore);
        }
        arrivedBefore = arrived;
        double weight = saturation(nowMillis) * (1 - Math.exp(-elapsedMillis / BASE_DECAY_MILLIS));
        base = scaled >= base ? scaled : base + (scaled - base) * weight;
        return Math.max(0, (base + (load.target() - meanLoad) / CORRECTION_SECONDS) * factor);
    }

    /**
     * Returns how far the slots are all in use, from 0 to 1: only then do completions tell the capacity. A rejection
     * shows it also where the work in flight of other routers is not known.
     */
    private double saturation(long nowMillis) {
        if (recentlyRejected(nowMillis)) {
            return 1;
        }
        double queued = load.target() - load.slots();
        return queued <= 0 ? 1 : Math.max(0, Math.min(1, (meanLoad - load.slots()) / queued));
    }
}
