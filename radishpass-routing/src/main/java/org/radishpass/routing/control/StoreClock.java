package org.radishpass.routing.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Relates the store's steady clock to this router's monotonic clock, from the moments at which questions were asked and answered
 * (Cristian's algorithm). Belongs to the control thread.
 *
 * <p>Routers tell each other at which moment of the store's clock a list was read. Its age is then known whatever delayed the
 * message: counted from the arrival instead, a message that had lain in a frozen process or behind a cut for 3 s made a list 3 s
 * younger, and endpoints were used 1.1 s beyond the bound for leaving ones.
 */
final class StoreClock {
    /** A moment that is not known, on either clock; earlier than all others. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** How far two clocks drift apart, in milliseconds a millisecond: quartz oscillators are off by at most 100 ppm each. */
    private static final double DRIFT = 200e-6;

    private static final Logger LOG = LoggerFactory.getLogger(StoreClock.class);

    /** Bounds of what this router's clock shows when the store's shows 0, in milliseconds. */
    private double least;

    private double most;
    private long observedAtMillis = NEVER;

    /**
     * Takes an answer of the store.
     *
     * @param askedAtMillis when it was asked, on this router's monotonic clock in milliseconds
     * @param answeredAtMillis when the answer was taken, on the same clock
     * @param storeMillis what the store's clock showed in between
     */
    void observed(long askedAtMillis, long answeredAtMillis, long storeMillis) {
        double newLeast = (double) askedAtMillis - storeMillis;
        double newMost = (double) answeredAtMillis - storeMillis;
        if (observedAtMillis != NEVER) {
            double drift = DRIFT * (answeredAtMillis - observedAtMillis);
            double bothLeast = Math.max(newLeast, least - drift);
            double bothMost = Math.min(newMost, most + drift);
            if (bothLeast <= bothMost) {
                newLeast = bothLeast;
                newMost = bothMost;
            } else {
                LOG.warn("the store's clock has jumped by about {} ms", Math.round(least - newLeast));
            }
        }
        least = newLeast;
        most = newMost;
        observedAtMillis = answeredAtMillis;
    }

    /**
     * Returns the latest moment that the store's clock may show now; {@link ControlSource#TIME_UNKNOWN} while it has not answered yet.
     *
     * @param nowMillis the time on this router's clock
     */
    long latestStoreMillis(long nowMillis) {
        if (observedAtMillis == NEVER) {
            return ControlSource.TIME_UNKNOWN;
        }
        double drift = DRIFT * (nowMillis - observedAtMillis);
        return (long) Math.ceil(nowMillis - least + drift);
    }

    /**
     * Returns the latest moment on this router's clock that a moment of the store's may be; {@link #NEVER} while the store has not answered
     * yet.
     *
     * @param storeMillis the moment on the store's clock
     * @param nowMillis the time on this router's clock
     */
    long latest(long storeMillis, long nowMillis) {
        if (observedAtMillis == NEVER) {
            return NEVER;
        }
        double drift = DRIFT * (nowMillis - observedAtMillis);
        return (long) Math.ceil(storeMillis + most + drift);
    }

    /**
     * Returns the earliest moment on this router's clock that a moment of the store's may have been; {@link #NEVER} while the store
     * has not answered yet.
     *
     * @param storeMillis the moment on the store's clock
     * @param nowMillis the time on this router's clock
     */
    long earliest(long storeMillis, long nowMillis) {
        if (observedAtMillis == NEVER || storeMillis == NEVER) {
            return NEVER;
        }
        double drift = DRIFT * (nowMillis - observedAtMillis);
        return Math.min(nowMillis, (long) Math.floor(storeMillis + least - drift));
    }
}
