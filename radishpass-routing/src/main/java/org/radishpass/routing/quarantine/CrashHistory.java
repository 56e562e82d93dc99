package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The crashes of endpoints at which requests with one feature were in progress, and what follows from them. Only consecutive crashes
 * count: the request was sent to the next endpoint after the previous one had crashed. When a rack fails, many
 * endpoints crash at once while running equal requests, such as those of polling callers; together this counts as one
 * crash. Times are on the monotonic clock in milliseconds. Confined to the traffic thread.
 */
final class CrashHistory {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The minimum number of consecutive crashes for a quarantine. */
    private static final int MIN_CRASHES = 2;

    /**
     * The maximum time from sending a request to a crash that it causes: such a request crashes the endpoint on start.
     */
    private static final long MAX_CAUSED_CRASH_DELAY_MILLIS = 1_000;

    /** The maximum number of crashes stored; more make no difference. */
    private static final int MAX_STORED_CRASHES = 8;

    /**
     * The length of the quarantine after the second, the third, the fourth and any later crash. A trial may cost an
     * engine and the responses to its other requests; in the case for which this was built, these were 2 to 14
     * requests. A request that has crashed three endpoints almost certainly crashes the fourth.
     */
    private static final long[] QUARANTINE_MILLIS = {
        TimeUnit.MINUTES.toMillis(1),
        TimeUnit.MINUTES.toMillis(10),
        TimeUnit.HOURS.toMillis(2),
        TimeUnit.HOURS.toMillis(24)
    };

    /**
     * The time for which a request is kept after the last crash or after the end of its quarantine, in milliseconds.
     */
    private static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(1);

    /**
     * The time for which other routers wait for the outcome of a trial: longer than the responses of deployments take.
     */
    private static final long TRIAL_TIMEOUT_MILLIS = 30_000;

    /** The maximum difference between reported times of the same trial: its age grows a little in transit. */
    private static final long SAME_TRIAL_TOLERANCE_MILLIS = 5_000;

    private final CrashCause cause;
    private final Map<Long, Crash> crashes = new LinkedHashMap<>();
    private int consecutiveCrashes;
    private boolean allSoonAfterSending;
    private long lastCrashMillis = NEVER;
    private long triedAtMillis = NEVER;
    private boolean seenLocally;
    private boolean refused;
    private boolean stored;
    private String service = "";
    private String origin = "";

    CrashHistory(CrashCause cause) {
        this.cause = cause;
    }

    /** Returns the feature whose history this is. */
    CrashCause cause() {
        return cause;
    }

    /** Adds crashes; returns whether at least one of them was not known. */
    boolean addAll(List<EndpointCrash> reported, String reporter, long nowMillis) {
        boolean anyNew = false;
        for (EndpointCrash crash : reported) {
            anyNew |= add(crash, reporter, nowMillis);
        }
        return anyNew;
    }

    private boolean add(EndpointCrash reported, String reporter, long nowMillis) {
        if (crashes.size() >= MAX_STORED_CRASHES || crashes.containsKey(reported.endpointHash())) {
            return false;
        }
        long atMillis = nowMillis - reported.ageMillis();
        crashes.put(reported.endpointHash(), new Crash(atMillis, reported.inProgressMillis()));
        origin = reporter;
        countConsecutive();
        return true;
    }

    private void countConsecutive() {
        consecutiveCrashes = 0;
        allSoonAfterSending = true;
        lastCrashMillis = NEVER;
        List<Crash> inOrder = new ArrayList<>(crashes.values());
        inOrder.sort(Comparator.comparingLong(Crash::atMillis));
        for (Crash crash : inOrder) {
            if (crash.sentAtMillis() >= lastCrashMillis) {
                consecutiveCrashes++;
                allSoonAfterSending &= crash.inProgressMillis <= MAX_CAUSED_CRASH_DELAY_MILLIS;
                lastCrashMillis = crash.atMillis;
            }
        }
    }

    /** Records the time of a trial; returns whether the trial was not known. */
    boolean tried(long atMillis) {
        boolean isNew = atMillis - triedAtMillis > SAME_TRIAL_TOLERANCE_MILLIS;
        triedAtMillis = Math.max(triedAtMillis, atMillis);
        return isNew;
    }

    /** Records that this router has seen one of the crashes itself. */
    void seenLocally() {
        seenLocally = true;
    }

    /** Tells whether this router has seen one of the crashes itself. */
    boolean wasSeenLocally() {
        return seenLocally;
    }

    /** Records that the request is in the store. */
    void stored() {
        stored = true;
    }

    /** Tells whether the request is in the store, as far as this router knows. */
    boolean wasStored() {
        return stored;
    }

    /** Returns the number of consecutive crashes. */
    int consecutiveCrashes() {
        return consecutiveCrashes;
    }

    long lastCrashMillis() {
        return lastCrashMillis;
    }

    /**
     * Tells whether the crashes look as if the request caused them: at least two, each soon after the request was sent.
     */
    boolean looksCaused() {
        return consecutiveCrashes >= MIN_CRASHES && allSoonAfterSending;
    }

    /** Tells whether the request has been refused because it counts as the cause of its crashes. */
    boolean refused() {
        return refused;
    }

    void markRefused() {
        refused = true;
    }

    /** Returns the service of the request; empty while this router has not received the request itself. */
    String service() {
        return service;
    }

    /** Sets the service of the request. */
    void service(String name) {
        service = name;
    }

    /** Returns the origin of the last crash added: this router, another router or the store. */
    String origin() {
        return origin;
    }

    /** Tells whether another request was in progress at all of the same crashes. */
    boolean allCrashesSharedWith(CrashHistory other) {
        return other.crashes.keySet().containsAll(crashes.keySet());
    }

    /** Returns the status of the request, given that it counts as the cause of its crashes. */
    QuarantineStatus status(long nowMillis) {
        long endMillis = quarantinedUntilMillis();
        if (nowMillis < endMillis) {
            return QuarantineStatus.QUARANTINED;
        }
        boolean trialInProgress = triedAtMillis >= endMillis && nowMillis - triedAtMillis < TRIAL_TIMEOUT_MILLIS;
        return trialInProgress ? QuarantineStatus.QUARANTINED : QuarantineStatus.ON_TRIAL;
    }

    /** Tells whether these crashes happened so long ago that they no longer count. */
    boolean expired(long nowMillis) {
        return nowMillis > quarantinedUntilMillis() + RETENTION_MILLIS;
    }

    private long quarantinedUntilMillis() {
        if (consecutiveCrashes < MIN_CRASHES) {
            return lastCrashMillis;
        }
        return lastCrashMillis
                + QUARANTINE_MILLIS[Math.min(consecutiveCrashes - MIN_CRASHES, QUARANTINE_MILLIS.length - 1)];
    }

    /** Returns the suspect to report to other routers or to write to the store. */
    Suspect toSuspect(long nowMillis) {
        List<EndpointCrash> reported = new ArrayList<>(crashes.size());
        crashes.forEach((hash, crash) ->
                reported.add(new EndpointCrash(hash, nowMillis - crash.atMillis, crash.inProgressMillis)));
        return new Suspect(cause, reported, triedAtMillis == NEVER ? Suspect.NEVER_TRIED : nowMillis - triedAtMillis);
    }

    /** A crash of an endpoint, and the time from sending the request to the crash. */
    private record Crash(long atMillis, long inProgressMillis) {
        private long sentAtMillis() {
            return atMillis - inProgressMillis;
        }
    }
}
