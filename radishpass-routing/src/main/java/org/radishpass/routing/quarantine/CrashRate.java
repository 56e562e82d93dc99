package org.radishpass.routing.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how often this router's requests to a service are in progress at an endpoint that crashes, for whatever
 * reason. From this rate follows how many consecutive crashes identify a request as the cause. Confined to the traffic
 * thread.
 *
 * <p>If the endpoints of a service rarely crash, a request in progress during two consecutive crashes is hardly
 * involved by accident. If one in nine runs meets a crash, hundreds of requests per minute meet two in a row, and only
 * four or five consecutive crashes distinguish the cause from the others.
 */
final class CrashRate {
    /**
     * The accepted probability that a request met all of its crashes by accident: at 60 requests per second, one
     * request in 80 s on a service whose endpoints crash that often.
     */
    private static final double MAX_ACCIDENT_PROBABILITY = 2e-4;

    /** The minimum number of consecutive crashes that identify a request as the cause. */
    private static final int MIN_CRASHES = 2;

    /**
     * The number of consecutive crashes that always suffices: one less than the six that a fleet may suffer at most.
     */
    private static final int SUFFICIENT_CRASHES = 5;

    /**
     * The number of responses assumed before counting began. A router that has just started thus assumes a low crash
     * rate, but a single crash does not change the rate much.
     */
    private static final int ASSUMED_EARLIER_RESPONSES = 300;

    private static final int BUCKETS = 6;
    private static final long BUCKET_MILLIS = 10_000;

    private final Map<String, Window> windows = new HashMap<>();

    /** Counts a request to a service that was answered. */
    void answered(String service, long nowMillis) {
        window(service).advance(nowMillis).answered[window(service).current]++;
    }

    /** Counts the requests that were in progress at an endpoint of a service when the endpoint crashed. */
    void crashed(String service, int requestsInProgress, long nowMillis) {
        window(service).advance(nowMillis).crashed[window(service).current] += requestsInProgress;
    }

    /**
     * Returns how many consecutive crashes distinguish a request that causes crashes from the other requests to a
     * service.
     */
    int crashesNeeded(String service, long nowMillis) {
        Window window = windows.get(service);
        if (window == null) {
            return MIN_CRASHES;
        }
        window.advance(nowMillis);
        double crashed = sum(window.crashed);
        double crashRate = crashed / (crashed + sum(window.answered) + ASSUMED_EARLIER_RESPONSES);
        if (crashRate <= 0) {
            return MIN_CRASHES;
        }
        int needed = (int) Math.ceil(Math.log(MAX_ACCIDENT_PROBABILITY) / Math.log(crashRate));
        return Math.max(MIN_CRASHES, Math.min(SUFFICIENT_CRASHES, needed));
    }

    /** Removes services without any counted request in the window. */
    void tidy(long nowMillis) {
        windows.values().removeIf(window -> {
            window.advance(nowMillis);
            return sum(window.crashed) + sum(window.answered) == 0;
        });
    }

    private Window window(String service) {
        return windows.computeIfAbsent(service, name -> new Window());
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Sliding window of one minute that counts answered requests and requests in progress at crashes, in buckets. */
    private static final class Window {
        private final int[] answered = new int[BUCKETS];
        private final int[] crashed = new int[BUCKETS];
        private long currentBucket = Long.MIN_VALUE;
        private int current;

        private Window advance(long nowMillis) {
            long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
            if (currentBucket == Long.MIN_VALUE) {
                currentBucket = bucket;
            }
            long steps = Math.min(BUCKETS, bucket - currentBucket);
            for (long step = 0; step < steps; step++) {
                current = (current + 1) % BUCKETS;
                answered[current] = 0;
                crashed[current] = 0;
            }
            currentBucket = Math.max(currentBucket, bucket);
            return this;
        }
    }
}
