package org.radishpass.routing.connection;

/**
 * Decides whether connections to one endpoint may be reused after it has sent bytes that belong to no response.
 *
 * <p>Until a deadline each request gets a new connection, so that a further late response meets no request. Afterwards single
 * requests that may be retried try reuse, with a pause between them, before all do. The time to the deadline doubles
 * with each further occurrence. Times are on the monotonic clock in milliseconds.
 *
 * @since 0.16.0
 */
public final class ReuseSuspension {
    /** Milliseconds of the first suspension; late responses that belong together fall into one. */
    static final long INITIAL_MILLIS = 2_000;

    static final long MAX_MILLIS = 60_000;

    /** Milliseconds between two trials, within which a late response to the one before most likely shows. */
    static final long TRIAL_INTERVAL_MILLIS = 500;

    /** The trials without unsolicited bytes after which connections are reused without limit. */
    static final int TRIALS = 4;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long nextLengthMillis = INITIAL_MILLIS;
    private long suspendedUntilMillis = NEVER;
    private long nextTrialAtMillis = NEVER;
    private int remainingTrials;

    /** Records bytes that belong to no response. */
    public void unsolicitedBytes(long nowMillis) {
        if (suspended(nowMillis)) {
            return;
        }
        suspendedUntilMillis = nowMillis + nextLengthMillis;
        nextTrialAtMillis = suspendedUntilMillis;
        nextLengthMillis = Math.min(MAX_MILLIS, 2 * nextLengthMillis);
        remainingTrials = TRIALS;
    }

    /** Tells whether connections are closed after each response. */
    public boolean suspended(long nowMillis) {
        return nowMillis < suspendedUntilMillis;
    }

    /**
     * Tells whether a request may be sent on a connection that has been used. A request that is told so counts as a trial.
     *
     * @param retryable whether the request can be sent again if its response is lost
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean mayReuse(boolean retryable, long nowMillis) {
        if (remainingTrials == 0) {
            return true;
        }
        if (!retryable || nowMillis < nextTrialAtMillis) {
            return false;
        }
        nextTrialAtMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
        remainingTrials--;
        if (remainingTrials == 0) {
            nextLengthMillis = INITIAL_MILLIS;
        }
        return true;
    }
}
