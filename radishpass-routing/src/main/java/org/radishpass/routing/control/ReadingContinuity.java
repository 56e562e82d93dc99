package org.radishpass.routing.control;

/**
 * Since when the endpoints have been read without a gap in which registrations may have lapsed, or been lost with a restore of the store: what a reading lacks is gone only
 * after a while of that. Times are on the monotonic clock in milliseconds. Belongs to the control thread.
 */
final class ReadingContinuity {
    /**
     * Milliseconds after the store's return during which absence means nothing. Endpoints renew their registration within
     * about two seconds of it.
     */
    static final long GRACE_MILLIS = 2_300;

    /**
     * Milliseconds between two readings up to which nothing can have lapsed in between: two readings may be missed, and a
     * registration outlives the last renewal by three periods of about 1.2 s.
     */
    static final long CONTINUITY_MILLIS = 1_900;

    private long sinceMillis = StoreClock.NEVER;
    private boolean keepsMissing;

    /** Tells whether endpoints that readings lack are kept for now. */
    boolean keepsMissing() {
        return keepsMissing;
    }

    /** Begins with the first reading by this router: there is nothing to keep yet. */
    void begun(long askedAtMillis) {
        sinceMillis = askedAtMillis;
    }

    /** Begins anew, with a reading after a gap, after a restore, or by a peer. */
    void interrupted(long readAtMillis) {
        sinceMillis = readAtMillis;
        keepsMissing = true;
    }

    /** A peer has read for long enough. */
    void settledByPeer() {
        sinceMillis = StoreClock.NEVER;
        keepsMissing = false;
    }

    /**
     * Tells whether a reading now follows on others for so long that what it lacks is gone.
     *
     * @param askedAtMillis when the store was asked
     */
    boolean settled(long askedAtMillis) {
        boolean settled = askedAtMillis - sinceMillis >= GRACE_MILLIS;
        if (settled) {
            keepsMissing = false;
        }
        return settled;
    }

    /**
     * Tells whether a time between two readings is a gap.
     *
     * @param gapMillis the time
     * @param storeMayHaveBeenAway whether the store may have been away in it
     */
    static boolean isGap(long gapMillis, boolean storeMayHaveBeenAway) {
        return gapMillis > GRACE_MILLIS || (storeMayHaveBeenAway && gapMillis > CONTINUITY_MILLIS);
    }
}
