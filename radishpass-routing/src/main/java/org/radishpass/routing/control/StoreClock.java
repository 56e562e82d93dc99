package org.radishpass.routing.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Relates the store's monotonic clock to this router's monotonic clock. The estimate uses the times at which requests
 * were sent and responses received (Cristian's algorithm). Confined to the control thread.
 *
 * <p>Routers tell each other when a list was read, on the store's clock. The age of the list is therefore known even if
 * the message was delayed. If age were counted from the arrival of the message, a message held for 3 s by a frozen
 * process or a network interruption would make a list appear 3 s younger. As a result, endpoints were used 1.1 s longer
 * than the bound for leaving endpoints allows.
 */
final class StoreClock {
    /** Stands for an unknown time, on either clock; earlier than all others. */
    static final long UNKNOWN_MILLIS = Long.MIN_VALUE / 2;

    /**
     * Largest drift between two clocks, in milliseconds per millisecond: quartz oscillators are off by at most 100 ppm
     * each.
     */
    private static final double MAX_DRIFT = 200e-6;

    private static final Logger LOG = LoggerFactory.getLogger(StoreClock.class);

    /**
     * Bounds of the offset between the clocks: the time on this router's clock when the store's clock shows 0, in
     * milliseconds.
     */
    private double minOffsetMillis;

    private double maxOffsetMillis;
    private long observedAtMillis = UNKNOWN_MILLIS;

    /**
     * Narrows the offset bounds with a response of the store.
     *
     * @param askedAtMillis when the request was sent, on this router's monotonic clock in milliseconds
     * @param answeredAtMillis when the response was processed, on the same clock
     * @param storeMillis the time on the store's clock at some moment in between
     */
    void observed(long askedAtMillis, long answeredAtMillis, long storeMillis) {
        double newMinMillis = (double) askedAtMillis - storeMillis;
        double newMaxMillis = (double) answeredAtMillis - storeMillis;
        if (observedAtMillis != UNKNOWN_MILLIS) {
            double driftMillis = MAX_DRIFT * (answeredAtMillis - observedAtMillis);
            double commonMinMillis = Math.max(newMinMillis, minOffsetMillis - driftMillis);
            double commonMaxMillis = Math.min(newMaxMillis, maxOffsetMillis + driftMillis);
            if (commonMinMillis <= commonMaxMillis) {
                newMinMillis = commonMinMillis;
                newMaxMillis = commonMaxMillis;
            } else {
                LOG.warn("the store's clock has jumped by about {} ms", Math.round(minOffsetMillis - newMinMillis));
            }
        }
        minOffsetMillis = newMinMillis;
        maxOffsetMillis = newMaxMillis;
        observedAtMillis = answeredAtMillis;
    }

    /**
     * Returns the latest time that the store's clock may show now; {@link ControlSource#TIME_UNKNOWN} before the first
     * response of the store.
     *
     * @param nowMillis the current time on this router's clock, in milliseconds
     */
    long latestStoreMillis(long nowMillis) {
        if (observedAtMillis == UNKNOWN_MILLIS) {
            return ControlSource.TIME_UNKNOWN;
        }
        double driftMillis = MAX_DRIFT * (nowMillis - observedAtMillis);
        return (long) Math.ceil(nowMillis - minOffsetMillis + driftMillis);
    }

    /**
     * Returns the latest time on this router's clock that a time on the store's clock may correspond to; {@link #UNKNOWN_MILLIS}
     * before the first response of the store.
     *
     * @param storeMillis the time on the store's clock, in milliseconds
     * @param nowMillis the current time on this router's clock, in milliseconds
     */
    long latestLocalMillis(long storeMillis, long nowMillis) {
        if (observedAtMillis == UNKNOWN_MILLIS) {
            return UNKNOWN_MILLIS;
        }
        double driftMillis = MAX_DRIFT * (nowMillis - observedAtMillis);
        return (long) Math.ceil(storeMillis + maxOffsetMillis + driftMillis);
    }

    /**
     * Returns the earliest time on this router's clock that a time on the store's clock may correspond to, but not
     * after the current time; {@link #UNKNOWN_MILLIS} before the first response of the store.
     *
     * @param storeMillis the time on the store's clock, in milliseconds; {@link #UNKNOWN_MILLIS} if unknown
     * @param nowMillis the current time on this router's clock, in milliseconds
     */
    long earliestLocalMillis(long storeMillis, long nowMillis) {
        if (observedAtMillis == UNKNOWN_MILLIS || storeMillis == UNKNOWN_MILLIS) {
            return UNKNOWN_MILLIS;
        }
        double driftMillis = MAX_DRIFT * (nowMillis - observedAtMillis);
        return Math.min(nowMillis, (long) Math.floor(storeMillis + minOffsetMillis - driftMillis));
    }
}
