package org.radishpass.routing.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * The kinds of features of requests that may crash endpoints, and how long each kind is quarantined.
 *
 * @since 0.11.0
 */
public enum CauseKind {
    /**
     * A whole request, which its caller sends again and again. The quarantine grows with the number of crashes. A trial
     * may cost an engine and the responses to its other requests; a request that has crashed three endpoints almost
     * certainly crashes the fourth.
     */
    REQUEST("request", "endpoints end when they run this request") {
        @Override
        long quarantineMillis(int consecutiveCrashes, int failedTrials) {
            return consecutiveCrashes < MIN_CRASHES_OF_REQUEST
                    ? 0
                    : pause(REQUEST_PAUSES_MILLIS, consecutiveCrashes - MIN_CRASHES_OF_REQUEST);
        }

        @Override
        boolean mayBeTried(int failedTrials) {
            return true;
        }

        @Override
        long toleranceMillis(long inProgressMillis) {
            return 0;
        }
    },
    /**
     * A part of a prompt, which different requests share. Many of them may be in progress before the part is quarantined,
     * so the quarantine grows with the number of failed trials instead, and ends without a third one.
     */
    PROMPT_PART("prompt part", "endpoints end when they answer a part of this prompt") {
        @Override
        long quarantineMillis(int consecutiveCrashes, int failedTrials) {
            return pause(PART_PAUSES_MILLIS, failedTrials);
        }

        @Override
        boolean mayBeTried(int failedTrials) {
            return failedTrials < MAX_FAILED_TRIALS;
        }

        @Override
        long toleranceMillis(long inProgressMillis) {
            return Math.min(MAX_TOLERANCE_MILLIS, inProgressMillis / 2);
        }
    };

    /** The minimum number of consecutive crashes for a quarantine of a request. */
    static final int MIN_CRASHES_OF_REQUEST = 2;

    /** The maximum number of trials of a part that crash an endpoint. */
    private static final int MAX_FAILED_TRIALS = 2;

    /**
     * The maximum tolerance, in milliseconds: the difference between the times that messages take within a region.
     * Crashes at the same moment, as of a rack, are not mistaken for consecutive ones as long as the tolerance is only a
     * part of the time for which requests are in progress.
     */
    private static final long MAX_TOLERANCE_MILLIS = 100;

    /** The quarantine of a request after the second, the third, the fourth and any later crash. */
    private static final long[] REQUEST_PAUSES_MILLIS = {
        TimeUnit.MINUTES.toMillis(1),
        TimeUnit.MINUTES.toMillis(10),
        TimeUnit.HOURS.toMillis(2),
        TimeUnit.HOURS.toMillis(24)
    };

    /** The quarantine of a part before the first trial, before the second trial, and after it. */
    private static final long[] PART_PAUSES_MILLIS = {
        TimeUnit.MINUTES.toMillis(10), TimeUnit.HOURS.toMillis(2), TimeUnit.HOURS.toMillis(24)
    };

    private final String text;
    private final String refusalText;

    CauseKind(String text, String refusalText) {
        this.text = text;
        this.refusalText = refusalText;
    }

    /**
     * Returns how long the quarantine lasts from the last crash, in milliseconds.
     *
     * @param consecutiveCrashes the number of consecutive crashes
     * @param failedTrials the number of trials that crashed an endpoint
     */
    abstract long quarantineMillis(int consecutiveCrashes, int failedTrials);

    /** Tells whether a request may be sent as a trial after the quarantine. */
    abstract boolean mayBeTried(int failedTrials);

    /**
     * Returns by how much a request may seem to have been sent before the previous crash, in milliseconds, and still
     * count as sent after it. Crashes that different routers report are known to within the time of a message.
     *
     * @param inProgressMillis the time from sending the request to its crash, in milliseconds
     */
    abstract long toleranceMillis(long inProgressMillis);

    /** Returns the shortest time between a crash and the crash of the trial that follows, in milliseconds. */
    static long minTrialIntervalMillis() {
        return PART_PAUSES_MILLIS[0];
    }

    /** Returns the name for logs. */
    public String text() {
        return text;
    }

    /** Returns the reason for the refusal of a request, for its caller. */
    public String refusalText() {
        return refusalText;
    }

    private static long pause(long[] pausesMillis, int step) {
        return pausesMillis[Math.min(step, pausesMillis.length - 1)];
    }
}
