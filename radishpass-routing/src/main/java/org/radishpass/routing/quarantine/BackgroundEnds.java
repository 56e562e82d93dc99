package org.radishpass.routing.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * How often the requests of a service meet the end of their endpoint at this router, whatever causes it. Belongs to the traffic thread.
 *
 * <p>On a service whose endpoints rarely end, a request that meets two ends in a row is hardly there by chance. Where each ninth run meets
 * one, hundreds do in a minute, and only four or five ends in a row tell the cause from the others.
 */
final class BackgroundEnds {
    /**
     * The chance that may be left that a request has met its ends by accident: of 60 requests a second one in 80 s, on a service in such
     * trouble.
     */
    private static final double CHANCE_LEFT = 2e-4;

    /** Ends in a row below which nothing is held against a request. */
    private static final int LEAST_ENDS = 2;

    /** Ends in a row that are always enough: one less than the six that a fleet allows itself at most. */
    private static final int ENOUGH_ENDS = 5;

    /**
     * Answers that are taken to have come before anything was counted: a router that has just started takes its service for a calm one, but
     * not on account of a single end.
     */
    private static final int ANSWERS_BEFORE = 300;

    private static final int BUCKETS = 6;
    private static final long BUCKET_MILLIS = 10_000;

    private final Map<String, Window> windows = new HashMap<>();

    /** Notes that a request of a service was answered. */
    void answered(String service, long nowMillis) {
        window(service).advance(nowMillis).answered[window(service).current]++;
    }

    /** Notes that an endpoint has ended with so many requests of a service at work. */
    void ended(String service, int requests, long nowMillis) {
        window(service).advance(nowMillis).broken[window(service).current] += requests;
    }

    /** Returns how many ends in a row are needed to tell a request that causes them from the others of a service. */
    int endsNeeded(String service, long nowMillis) {
        Window window = windows.get(service);
        if (window == null) {
            return LEAST_ENDS;
        }
        window.advance(nowMillis);
        double broken = sum(window.broken);
        double chance = broken / (broken + sum(window.answered) + ANSWERS_BEFORE);
        if (chance <= 0) {
            return LEAST_ENDS;
        }
        int needed = (int) Math.ceil(Math.log(CHANCE_LEFT) / Math.log(chance));
        return Math.max(LEAST_ENDS, Math.min(ENOUGH_ENDS, needed));
    }

    /** Forgets services of which nothing was heard for the time that is counted. */
    void tidy(long nowMillis) {
        windows.values().removeIf(window -> {
            window.advance(nowMillis);
            return sum(window.broken) + sum(window.answered) == 0;
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

    /** Counts of the last minute. */
    private static final class Window {
        private final int[] answered = new int[BUCKETS];
        private final int[] broken = new int[BUCKETS];
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
                broken[current] = 0;
            }
            currentBucket = Math.max(currentBucket, bucket);
            return this;
        }
    }
}
