package org.radishpass.routing.retry;

/**
 * The requests for one service that a process has counted and the retries that it has sent, in buckets of time that cover
 * two windows.
 */
final class RetryAccount {
    /** The number of buckets in a window. */
    private static final int WINDOW_BUCKETS = 100;

    /**
     * The number of buckets in the longest time from the permission of a retry to its arrival: the timeout of a connection
     * and a round trip, in a window of ten seconds.
     */
    private static final int ARRIVAL_BUCKETS = 5;

    /** The buckets of a window that contains the present, and of the window before it. */
    private static final int BUCKETS = 2 * WINDOW_BUCKETS + 1;

    private final long bucketMillis;
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long currentBucket;

    /**
     * Creates an account without requests and retries.
     *
     * @param windowMillis the length of a window, in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    RetryAccount(long windowMillis, long nowMillis) {
        bucketMillis = Math.max(1, windowMillis / WINDOW_BUCKETS);
        currentBucket = Math.floorDiv(nowMillis, bucketMillis);
    }

    /** Counts a request. */
    void requested(long nowMillis) {
        advance(nowMillis);
        requests[index(currentBucket)]++;
    }

    /** Counts a retry. */
    void retried(long nowMillis) {
        advance(nowMillis);
        retries[index(currentBucket)]++;
    }

    /**
     * Returns the window with the least room for another retry, among all windows that contain the present.
     *
     * <p>A window may begin anywhere in its first bucket. So the requests of that bucket count as before the window, where
     * they allow less. The retries that were permitted shortly before the window may arrive in it, so they count.
     *
     * @param limit the retries that the process may send in a window
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    Window tightest(Limit limit, long nowMillis) {
        advance(nowMillis);
        int before = sum(requests, currentBucket - WINDOW_BUCKETS + 1);
        int spent = sum(retries, currentBucket - ARRIVAL_BUCKETS);
        int since = 0;
        long first = currentBucket;
        Window tightest = new Window(spent, limit.retries(before, since, first * bucketMillis));
        while (first > currentBucket - WINDOW_BUCKETS) {
            since += requests[index(first)];
            before += requests[index(first - WINDOW_BUCKETS)] - requests[index(first)];
            first--;
            spent += retries[index(first - ARRIVAL_BUCKETS)];
            Window window = new Window(spent, limit.retries(before, since, first * bucketMillis));
            tightest = window.room() < tightest.room() ? window : tightest;
        }
        return tightest;
    }

    private int sum(int[] counts, long firstBucket) {
        int sum = 0;
        for (long bucket = firstBucket; bucket <= currentBucket; bucket++) {
            sum += counts[index(bucket)];
        }
        return sum;
    }

    private void advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, bucketMillis);
        long cleared = Math.max(currentBucket, bucket - BUCKETS);
        while (cleared < bucket) {
            cleared++;
            requests[index(cleared)] = 0;
            retries[index(cleared)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    /** The retries that a process may send in a window. */
    @FunctionalInterface
    interface Limit {
        /**
         * Returns the number of retries.
         *
         * @param requestsBefore the requests in the window that ends where this one begins
         * @param requestsSince the requests since the beginning of this window
         * @param beginMillis when this window begins, on the monotonic clock in milliseconds
         */
        double retries(int requestsBefore, int requestsSince, long beginMillis);
    }

    /**
     * A window that contains the present.
     *
     * @param spent the retries that the process has sent in the window
     * @param limit the retries that it may send in the window
     */
    record Window(int spent, double limit) {
        /** Returns how many retries are left. */
        double room() {
            return limit - spent;
        }
    }
}
