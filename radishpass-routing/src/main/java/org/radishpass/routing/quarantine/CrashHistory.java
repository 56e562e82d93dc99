package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * The crashes of endpoints at which requests with one feature were in progress, and what follows from them. Only
 * consecutive crashes count: the request was sent to the next endpoint after the previous one had crashed. When a rack
 * fails, many endpoints crash at once while running equal requests, such as those of polling callers; together this
 * counts as one crash. Times are on the monotonic clock in milliseconds. Confined to the traffic thread.
 */
final class CrashHistory {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * The maximum time from sending a request to a crash that it causes: such a request crashes the endpoint on start.
     */
    private static final long MAX_CAUSED_CRASH_DELAY_MILLIS = 1_000;

    /** The maximum number of crashes stored. */
    private static final int MAX_STORED_CRASHES = 16;

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
    private final Set<Long> counted = new HashSet<>();
    private int consecutiveCrashes;
    private int failedTrials;
    private boolean allSoonAfterSending;
    private long lastCrashMillis = NEVER;
    private long triedAtMillis = NEVER;
    private boolean seenLocally;
    private boolean refused;
    private boolean stored;
    private List<PromptPartFingerprint> promptParts = List.of();
    private String service = "";
    private String origin = "";

    CrashHistory(CrashCause cause) {
        this.cause = cause;
    }

    /** Returns the feature whose history this is. */
    CrashCause cause() {
        return cause;
    }

    /**
     * Adds crashes; returns whether anything of them was not known.
     *
     * @param reported the crashes
     * @param reporter the router or store that reported them
     * @param versions returns the software version of an endpoint by the hash of its id
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    boolean addAll(
            List<EndpointCrash> reported, String reporter, LongFunction<SoftwareVersion> versions, long nowMillis) {
        boolean anyNew = false;
        for (EndpointCrash crash : reported) {
            anyNew |= add(crash, reporter, versions, nowMillis);
        }
        return anyNew;
    }

    private boolean add(
            EndpointCrash reported, String reporter, LongFunction<SoftwareVersion> versions, long nowMillis) {
        Crash known = crashes.get(reported.endpointHash());
        if (known != null && known.inProgressMillis <= reported.inProgressMillis()) {
            return false;
        }
        long atMillis = known == null ? nowMillis - reported.ageMillis() : known.atMillis;
        SoftwareVersion version = known == null ? versions.apply(reported.endpointHash()) : known.version;
        crashes.put(reported.endpointHash(), new Crash(atMillis, reported.inProgressMillis(), version));
        countConsecutive();
        if (crashes.size() > MAX_STORED_CRASHES && dropOldest() == reported.endpointHash()) {
            return false;
        }
        origin = reporter;
        return true;
    }

    /**
     * Drops the oldest crash that does not count because it is not consecutive, or the oldest one if all count. Returns
     * the hash of its endpoint.
     */
    private long dropOldest() {
        long dropped = crashes.entrySet().stream()
                .min(Comparator.comparing((Map.Entry<Long, Crash> crash) -> counted.contains(crash.getKey()))
                        .thenComparingLong(crash -> crash.getValue().atMillis))
                .orElseThrow()
                .getKey();
        crashes.remove(dropped);
        countConsecutive();
        return dropped;
    }

    /**
     * Removes the crashes of endpoints of a software version, because one of these began to answer a request with the
     * feature. Returns whether this refutes all crashes; then they are kept for the log.
     */
    boolean refute(SoftwareVersion version) {
        if (crashes.values().stream().allMatch(crash -> crash.refutedBy(version))) {
            return true;
        }
        crashes.values().removeIf(crash -> crash.refutedBy(version));
        countConsecutive();
        return false;
    }

    private void countConsecutive() {
        counted.clear();
        consecutiveCrashes = 0;
        failedTrials = 0;
        allSoonAfterSending = true;
        lastCrashMillis = NEVER;
        List<Map.Entry<Long, Crash>> inOrder = new ArrayList<>(crashes.entrySet());
        inOrder.sort(Comparator.comparingLong(entry -> entry.getValue().atMillis));
        for (Map.Entry<Long, Crash> entry : inOrder) {
            Crash crash = entry.getValue();
            long toleranceMillis = cause.kind().toleranceMillis(crash.inProgressMillis);
            if (crash.sentAtMillis() + toleranceMillis >= lastCrashMillis) {
                boolean afterQuarantine = crash.atMillis - lastCrashMillis >= CauseKind.minTrialIntervalMillis();
                failedTrials += consecutiveCrashes > 0 && afterQuarantine ? 1 : 0;
                consecutiveCrashes++;
                counted.add(entry.getKey());
                allSoonAfterSending &= crash.inProgressMillis <= MAX_CAUSED_CRASH_DELAY_MILLIS;
                lastCrashMillis = crash.atMillis;
            }
        }
    }

    /** Returns the software versions of the endpoints that crashed. */
    Set<SoftwareVersion> versions() {
        return crashes.values().stream().map(Crash::version).collect(Collectors.toSet());
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
        return consecutiveCrashes >= CauseKind.MIN_CRASHES_OF_REQUEST && allSoonAfterSending;
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

    /** Sets the parts of the prompt of the request whose history this is, as far as this router has received it. */
    void promptParts(List<PromptPartFingerprint> parts) {
        promptParts = parts;
    }

    /** Tells whether this is the history of a request whose prompt is known to contain a part. */
    boolean promptContains(CrashCause part) {
        return promptParts.contains(part);
    }

    /** Returns the origin of the last crash added: this router, another router or the store. */
    String origin() {
        return origin;
    }

    /** Tells whether another request was in progress at all of the same crashes. */
    boolean allCrashesSharedWith(CrashHistory other) {
        return other.crashes.keySet().containsAll(crashes.keySet());
    }

    /** Returns the status of requests with the feature, given that it counts as the cause of its crashes. */
    QuarantineStatus status(long nowMillis) {
        long endMillis = quarantinedUntilMillis();
        if (nowMillis < endMillis || !cause.kind().mayBeTried(failedTrials)) {
            return QuarantineStatus.QUARANTINED;
        }
        boolean trialInProgress = triedAtMillis >= endMillis && nowMillis - triedAtMillis < TRIAL_TIMEOUT_MILLIS;
        return trialInProgress ? QuarantineStatus.QUARANTINED : QuarantineStatus.ON_TRIAL;
    }

    /** Tells whether these crashes happened so long ago that they no longer count. */
    boolean expired(long nowMillis) {
        return nowMillis > quarantinedUntilMillis() + RETENTION_MILLIS;
    }

    /** Returns when the quarantine ends, on the monotonic clock in milliseconds. */
    long quarantinedUntilMillis() {
        return lastCrashMillis + cause.kind().quarantineMillis(consecutiveCrashes, failedTrials);
    }

    /** Returns the suspect to report to other routers or to write to the store. */
    Suspect toSuspect(long nowMillis) {
        List<EndpointCrash> reported = new ArrayList<>(crashes.size());
        crashes.forEach((hash, crash) ->
                reported.add(new EndpointCrash(hash, nowMillis - crash.atMillis, crash.inProgressMillis)));
        return new Suspect(cause, reported, triedAtMillis == NEVER ? Suspect.NEVER_TRIED : nowMillis - triedAtMillis);
    }

    /** A crash of an endpoint of a software version, and the time from sending the request to the crash. */
    private record Crash(long atMillis, long inProgressMillis, SoftwareVersion version) {
        private boolean refutedBy(SoftwareVersion answering) {
            return !version.known() || version.sameAs(answering);
        }

        private long sentAtMillis() {
            return atMillis - inProgressMillis;
        }
    }
}
