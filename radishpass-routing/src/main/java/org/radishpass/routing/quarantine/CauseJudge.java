package org.radishpass.routing.quarantine;

/** Decides from crash histories which suspected features of requests count as causes of crashes. */
final class CauseJudge {
    /**
     * The minimum of consecutive crashes if one did not come soon after sending, or if another suspect shares them all.
     */
    private static final int MIN_CRASHES_WITHOUT_PATTERN = 3;

    private final SuspectRegistry suspects;
    private final CrashRate crashRate = new CrashRate();

    CauseJudge(SuspectRegistry suspects) {
        this.suspects = suspects;
    }

    /** Returns how often requests are in progress at endpoints that crash. */
    CrashRate crashRate() {
        return crashRate;
    }

    /**
     * Tells whether a feature counts as the cause of its crashes. Once refused, it counts as the cause until a request
     * with it is answered or it expires, even if a rising crash rate of the service now requires more crashes.
     */
    boolean countsAsCause(CrashHistory history, long nowMillis) {
        if (history.refused()) {
            return true;
        }
        int needed = crashRate.crashesNeeded(history.service(), nowMillis);
        boolean clearPattern = history.looksCaused() && hasDistinctCrashes(history);
        return history.consecutiveCrashes() >= (clearPattern ? needed : Math.max(needed, MIN_CRASHES_WITHOUT_PATTERN));
    }

    /**
     * Tells whether no other likely cause was in progress at all of the same crashes. Two such requests can be
     * distinguished only by a third crash or by a response.
     */
    private boolean hasDistinctCrashes(CrashHistory history) {
        return suspects.all().stream()
                .noneMatch(other -> other != history && other.looksCaused() && history.allCrashesSharedWith(other));
    }
}
