package org.radishpass.routing.quarantine;

import java.util.Collection;

/** Decides from crash histories which suspected features of requests count as causes of crashes. */
final class CauseJudge {
    /**
     * The minimum of consecutive crashes if one did not come soon after sending, or if another suspect shares them all.
     */
    private static final int MIN_CRASHES_WITHOUT_PATTERN = 3;

    /** The minimum of consecutive crashes of a part of a prompt, whose requests share parts and arrive often. */
    private static final int MIN_CRASHES_OF_PART = 3;

    private final SuspectRegistry suspects;
    private final CrashRate crashRate = new CrashRate();
    private final CrashRate unansweredCrashRate = new CrashRate();
    private final TrialElection trialElection = new TrialElection();

    CauseJudge(SuspectRegistry suspects) {
        this.suspects = suspects;
    }

    /** Returns how often requests are in progress at endpoints that crash. */
    CrashRate crashRate() {
        return crashRate;
    }

    /** Returns how often prompts meet the crash of their endpoint before it begins to answer, for no known reason. */
    CrashRate unansweredCrashRate() {
        return unansweredCrashRate;
    }

    /** Returns the election of the router that makes a trial. */
    TrialElection trialElection() {
        return trialElection;
    }

    /**
     * Counts a crash for the crash rates. Prompts with a part that is suspected already are left out of the rate of
     * unanswered prompts, because their crashes are not accidents.
     */
    void countCrash(String service, Collection<InProgressRequest> inProgress, long nowMillis) {
        crashRate.crashed(service, inProgress.size(), nowMillis);
        long unexplained = inProgress.stream()
                .filter(request -> !request.unansweredParts().isEmpty())
                .filter(request -> request.unansweredParts().stream().allMatch(part -> suspects.find(part) == null))
                .count();
        unansweredCrashRate.crashed(service, (int) unexplained, nowMillis);
    }

    /** Removes services without recent crashes and responses from the crash rates. */
    void tidy(long nowMillis) {
        crashRate.tidy(nowMillis);
        unansweredCrashRate.tidy(nowMillis);
    }

    /** Returns the status of a request on account of one of its features. */
    QuarantineStatus status(CrashHistory history, RequestFeatures features, long nowMillis) {
        if (!countsAsCause(history, nowMillis) || !appliesTo(history, features, nowMillis)) {
            return QuarantineStatus.SUSPECTED;
        }
        QuarantineStatus status = history.status(nowMillis);
        return status == QuarantineStatus.ON_TRIAL && !trialElection.mayTry(history, nowMillis)
                ? QuarantineStatus.QUARANTINED
                : status;
    }

    /**
     * Tells whether a feature counts as the cause of its crashes. Once refused, it counts as the cause until a request
     * with it is answered or it expires, even if a rising crash rate of the service now requires more crashes.
     */
    boolean countsAsCause(CrashHistory history, long nowMillis) {
        if (history.refused()) {
            return true;
        }
        return switch (history.cause().kind()) {
            case REQUEST -> requestCountsAsCause(history, nowMillis);
            case PROMPT_PART -> partCountsAsCause(history, nowMillis);
        };
    }

    /**
     * Tells whether a feature that counts as a cause is to be blamed for a request that has it. Another suspect that
     * was in progress at all of its crashes may be the cause instead, so a request that lacks that other suspect is not
     * affected.
     */
    private boolean appliesTo(CrashHistory history, RequestFeatures features, long nowMillis) {
        return suspects.all().stream()
                .filter(other -> other.cause().workspace() == history.cause().workspace())
                .filter(history::allCrashesSharedWith)
                .filter(other -> mayExplain(other, history, nowMillis))
                .allMatch(other -> features.include(other.cause()));
    }

    /**
     * Tells whether a suspect may be the cause of the crashes of another at which it was in progress. Two requests are
     * told apart by {@link #hasDistinctCrashes}. A whole request explains the crashes of a part of its own prompt if it
     * counts as a cause itself.
     */
    private boolean mayExplain(CrashHistory other, CrashHistory history, long nowMillis) {
        return other.cause().kind() == CauseKind.PROMPT_PART
                || (other.promptContains(history.cause()) && countsAsCause(other, nowMillis));
    }

    private boolean requestCountsAsCause(CrashHistory history, long nowMillis) {
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
                .noneMatch(other -> other != history
                        && other.cause().kind() == CauseKind.REQUEST
                        && other.looksCaused()
                        && history.allCrashesSharedWith(other));
    }

    /**
     * Tells whether a part counts as the cause of its crashes. The content of a part is the same in all workspaces, but
     * its id is stated by callers, so the crashes of another workspace only support a crash of this one.
     */
    private boolean partCountsAsCause(CrashHistory history, long nowMillis) {
        return history.consecutiveCrashes() >= crashesNeeded(history, nowMillis)
                || suspects.all().stream()
                        .filter(other -> history.cause().samePartInOtherWorkspace(other.cause()))
                        .anyMatch(other -> other.consecutiveCrashes() >= crashesNeeded(other, nowMillis));
    }

    private int crashesNeeded(CrashHistory history, long nowMillis) {
        return Math.max(MIN_CRASHES_OF_PART, unansweredCrashRate.crashesNeeded(history.service(), nowMillis));
    }
}
