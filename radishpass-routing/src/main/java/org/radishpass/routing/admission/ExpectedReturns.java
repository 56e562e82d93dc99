package org.radishpass.routing.admission;

import java.util.PriorityQueue;

/**
 * Counts which returns of refused callers are expected: one for each first refusal, from the time on at which the caller
 * was told to return. Times are in milliseconds on the monotonic clock. Not thread-safe.
 */
final class ExpectedReturns {
    /** The time in milliseconds after which a return that was not made is forgotten. */
    private static final long KEPT_MILLIS = 8_000;

    /** The maximum number of expected returns; beyond it the earliest are forgotten. */
    private static final int MAX_RETURNS = 16_384;

    private final PriorityQueue<Long> returnTimes = new PriorityQueue<>();
    private double refusedHere;
    private long updatedMillis;

    /**
     * Records a refusal.
     *
     * @param first whether the caller is refused for the first time, and may return once
     * @param returnMillis when the caller was told to return
     * @param nowMillis the time
     */
    void refused(boolean first, long returnMillis, long nowMillis) {
        decay(nowMillis);
        refusedHere++;
        if (!first) {
            return;
        }
        if (returnTimes.size() >= MAX_RETURNS) {
            returnTimes.remove();
        }
        returnTimes.add(returnMillis);
    }

    /**
     * Records that a caller has returned.
     *
     * @return whether the caller may have been refused here; if not, it was refused or lost its connection elsewhere
     */
    boolean returned(long nowMillis) {
        decay(nowMillis);
        if (refusedHere < 1) {
            return false;
        }
        refusedHere--;
        return true;
    }

    /**
     * Uses up one return that is due.
     *
     * @return false if none is due
     */
    boolean claim(long nowMillis) {
        Long earliest = returnTimes.peek();
        while (earliest != null && earliest + KEPT_MILLIS < nowMillis) {
            returnTimes.remove();
            earliest = returnTimes.peek();
        }
        if (earliest == null || earliest > nowMillis) {
            return false;
        }
        returnTimes.remove();
        return true;
    }

    private void decay(long nowMillis) {
        if (nowMillis > updatedMillis) {
            refusedHere *= Math.exp((updatedMillis - nowMillis) / (double) KEPT_MILLIS);
            updatedMillis = nowMillis;
        }
    }
}
