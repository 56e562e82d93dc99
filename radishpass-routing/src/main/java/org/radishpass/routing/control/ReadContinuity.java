package org.radishpass.routing.control;

/**
 * Tracks since when the endpoint list has been read without a gap. During a gap, registrations may have expired, or a
 * restore of the store may have lost them. An endpoint that a read does not contain counts as gone only after a period
 * of continuous reads. All times are on the monotonic clock in milliseconds. Confined to the control thread.
 */
final class ReadContinuity {
    /**
     * Milliseconds after the store's return during which missing endpoints are retained. Endpoints renew their
     * registration within about 2 s of the return.
     */
    static final long ABSENCE_GRACE_MILLIS = 2_300;

    /**
     * Largest number of milliseconds between two reads during which no registration can have expired. It allows for two
     * missed reads; a registration expires three renewal periods of about 1.2 s after its last renewal.
     */
    static final long MAX_CONTINUOUS_GAP_MILLIS = 1_900;

    private long continuousSinceMillis = StoreClock.UNKNOWN_MILLIS;
    private boolean retainsMissing;

    /** Tells whether endpoints that a read does not contain are currently retained. */
    boolean retainsMissing() {
        return retainsMissing;
    }

    /** Starts a period of continuous reads with this router's first read, before which there is nothing to retain. */
    void firstRead(long askedAtMillis) {
        continuousSinceMillis = askedAtMillis;
    }

    /**
     * Starts a new period of continuous reads after a gap, after a restore, or with a peer's read, and retains missing
     * endpoints.
     */
    void interrupted(long readAtMillis) {
        continuousSinceMillis = readAtMillis;
        retainsMissing = true;
    }

    /** Records that a peer has read continuously for long enough, so that missing endpoints are gone. */
    void settledByPeer() {
        continuousSinceMillis = StoreClock.UNKNOWN_MILLIS;
        retainsMissing = false;
    }

    /**
     * Tells whether reads have been continuous for so long that endpoints missing from the latest one are gone. If so,
     * missing endpoints are no longer retained.
     *
     * @param askedAtMillis when the latest request was sent
     */
    boolean settled(long askedAtMillis) {
        boolean settled = askedAtMillis - continuousSinceMillis >= ABSENCE_GRACE_MILLIS;
        if (settled) {
            retainsMissing = false;
        }
        return settled;
    }

    /**
     * Tells whether the time between two reads is a gap.
     *
     * @param gapMillis the time between the reads
     * @param storeMayHaveBeenUnavailable whether the store may have been unavailable in between
     */
    static boolean isGap(long gapMillis, boolean storeMayHaveBeenUnavailable) {
        return gapMillis > ABSENCE_GRACE_MILLIS
                || (storeMayHaveBeenUnavailable && gapMillis > MAX_CONTINUOUS_GAP_MILLIS);
    }
}
