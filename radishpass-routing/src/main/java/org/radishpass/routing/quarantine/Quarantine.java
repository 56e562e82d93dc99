package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Identifies requests that crash the endpoints that run them, and keeps these requests from further endpoints. Combines
 * the crashes that this router has seen with those that other routers report. Confined to the traffic thread.
 *
 * <p>When an endpoint crashes, every request in progress there is a suspect. A suspect that is sent again counts as the
 * cause after a second crash if both crashes came soon after the request was sent and if no other such suspect shares
 * them, and otherwise after a third crash. If the endpoints of the service crash often, more crashes are required. A
 * request that is answered is cleared at once at all routers, because a request that crashes its endpoints is never
 * answered. A quarantine is limited: after a time that grows with the number of crashes, the request is let through
 * once as a trial.
 *
 * @since 0.5.0
 */
public final class Quarantine {
    /**
     * The maximum number of suspects: 0.9 KB each with six crashes, 1.8 MB in all. Creating many takes many crashes.
     */
    static final int MAX_SUSPECTS = 2_048;

    /**
     * The maximum number of suspects of one workspace. Above it, its suspects evict each other and no other
     * workspace's.
     */
    static final int MAX_SUSPECTS_OF_WORKSPACE = 256;

    /**
     * The maximum number of suspects of one crash: the requests sent last, since the cause is among them. Few enough
     * for a message of 1.4 KB.
     */
    static final int MAX_SUSPECTS_OF_CRASH = 32;

    /**
     * The minimum of consecutive crashes if one did not come soon after sending, or if another suspect shares them all.
     */
    private static final int MIN_CRASHES_WITHOUT_PATTERN = 3;

    private static final String THIS_ROUTER = "this router";
    private static final String STORE = "the store";

    private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();
    private final Listener listener;
    private final CrashRate crashRate = new CrashRate();
    private SuspectListener suspectListener = SuspectListener.NONE;
    private volatile int causeCount;

    /**
     * Creates a quarantine without suspects.
     *
     * @param listener receives changes in the status of requests
     */
    public Quarantine(Listener listener) {
        this.listener = listener;
    }

    /**
     * Sets the listener that receives what this router finds out itself, for other routers and for the store.
     *
     * @param newListener the listener
     */
    public void setSuspectListener(SuspectListener newListener) {
        suspectListener = newListener;
    }

    /**
     * Records that an endpoint has crashed.
     *
     * @param service the service of the endpoint
     * @param endpointHash the hash of the endpoint's id
     * @param inProgress the requests that were in progress at the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void endpointCrashed(
            String service, long endpointHash, Collection<InProgressRequest> inProgress, long nowMillis) {
        crashRate.crashed(service, inProgress.size(), nowMillis);
        List<Suspect> newSuspects = inProgress.stream()
                .sorted(Comparator.comparingLong(InProgressRequest::millis))
                .limit(MAX_SUSPECTS_OF_CRASH)
                .map(request -> suspect(request, endpointHash))
                .filter(suspect -> addLocalCrash(suspect, service, nowMillis))
                .toList();
        newSuspects.forEach(suspect -> storeIfCause(suspect.request(), nowMillis));
        publish(new SuspectReport(newSuspects, List.of()));
    }

    private static Suspect suspect(InProgressRequest inProgress, long endpointHash) {
        return new Suspect(
                inProgress.request(),
                List.of(new EndpointCrash(endpointHash, 0, inProgress.millis())),
                Suspect.NEVER_TRIED);
    }

    private boolean addLocalCrash(Suspect suspect, String service, long nowMillis) {
        CrashHistory history = historyOf(suspect.request());
        history.service(service);
        history.seenLocally();
        return history.addAll(suspect.crashes(), THIS_ROUTER, nowMillis);
    }

    /** Has the request written to the store if it counts as the cause and this router itself saw one of its crashes. */
    private void storeIfCause(RequestFingerprint request, long nowMillis) {
        CrashHistory history = histories.get(request);
        if (history != null && history.wasSeenLocally() && countsAsCause(history, nowMillis)) {
            history.stored();
            suspectListener.quarantined(history.toSuspect(request, nowMillis));
        }
    }

    /**
     * Records that a request was answered, which proves that the request is harmless.
     *
     * @param request the request
     * @param service the service that answered the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void answered(RequestFingerprint request, String service, long nowMillis) {
        crashRate.answered(service, nowMillis);
        if (clear(request)) {
            publish(new SuspectReport(List.of(), List.of(request)));
        }
    }

    /**
     * Records that a request is being sent. If this is the trial of a quarantined request, other routers are told, so
     * that they wait for the outcome.
     *
     * @param request the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(RequestFingerprint request, long nowMillis) {
        CrashHistory history = histories.get(request);
        if (history != null && status(history, nowMillis) == QuarantineStatus.ON_TRIAL) {
            history.tried(nowMillis);
            listener.tried(request, history.consecutiveCrashes());
            publish(new SuspectReport(List.of(history.toSuspect(request, nowMillis)), List.of()));
        }
    }

    /**
     * Merges the report of another router.
     *
     * @param report the report
     * @param origin the name of the other router, for the log
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return the part of the report that was not known
     */
    public SuspectReport merge(SuspectReport report, String origin, long nowMillis) {
        List<Suspect> newSuspects = report.suspects().stream()
                .filter(suspect -> merge(suspect, origin, nowMillis))
                .toList();
        return new SuspectReport(
                newSuspects, report.cleared().stream().filter(this::clear).toList());
    }

    private boolean merge(Suspect suspect, String origin, long nowMillis) {
        CrashHistory history = historyOf(suspect.request());
        boolean changed = history.addAll(suspect.crashes(), origin, nowMillis);
        if (changed) {
            storeIfCause(suspect.request(), nowMillis);
        }
        if (suspect.tried()) {
            changed |= history.tried(nowMillis - suspect.triedMillisAgo());
        }
        return changed;
    }

    /**
     * Merges the suspects read from the store. This router removes a suspect from the store if its request turns out to
     * be harmless.
     *
     * @param suspects the suspects in the store
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void mergeStored(Collection<Suspect> suspects, long nowMillis) {
        for (Suspect suspect : suspects) {
            merge(suspect, STORE, nowMillis);
            historyOf(suspect.request()).stored();
        }
    }

    /** Returns a report of all suspects. */
    public SuspectReport all(long nowMillis) {
        List<Suspect> suspects = new ArrayList<>(histories.size());
        histories.forEach((request, history) -> suspects.add(history.toSuspect(request, nowMillis)));
        return new SuspectReport(suspects, List.of());
    }

    /**
     * Returns the status of a request, which decides whether and how the request may be sent now.
     *
     * @param request the request
     * @param service the service to which the request is to be sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public QuarantineStatus status(RequestFingerprint request, String service, long nowMillis) {
        CrashHistory history = histories.get(request);
        if (history == null || history.expired(nowMillis)) {
            return QuarantineStatus.CLEAR;
        }
        history.service(service);
        QuarantineStatus status = status(history, nowMillis);
        if (status == QuarantineStatus.QUARANTINED && !history.refused()) {
            history.markRefused();
            listener.quarantined(request, history.consecutiveCrashes(), history.origin());
        }
        return status;
    }

    private QuarantineStatus status(CrashHistory history, long nowMillis) {
        return countsAsCause(history, nowMillis) ? history.status(nowMillis) : QuarantineStatus.SUSPECTED;
    }

    /**
     * Returns the number of requests that counted as a cause of crashes at the last {@link #tidy}; callable from any
     * thread.
     */
    public int causeCount() {
        return causeCount;
    }

    /** Removes expired suspects and counts the requests that are quarantined or awaiting a trial. */
    public void tidy(long nowMillis) {
        histories.values().removeIf(history -> history.expired(nowMillis));
        crashRate.tidy(nowMillis);
        causeCount = (int) histories.values().stream()
                .filter(history -> countsAsCause(history, nowMillis))
                .count();
    }

    /**
     * Tells whether a request counts as the cause of its crashes. Once refused, a request counts as the cause until it
     * is answered or expires, even if a rising crash rate of the service now requires more crashes.
     */
    private boolean countsAsCause(CrashHistory history, long nowMillis) {
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
        return histories.values().stream()
                .noneMatch(other -> other != history && other.looksCaused() && history.allCrashesSharedWith(other));
    }

    private CrashHistory historyOf(RequestFingerprint request) {
        CrashHistory known = histories.get(request);
        if (known == null) {
            evictIfFull(request);
            known = new CrashHistory();
            histories.put(request, known);
        }
        return known;
    }

    private boolean clear(RequestFingerprint request) {
        CrashHistory cleared = histories.remove(request);
        if (cleared == null) {
            return false;
        }
        if (cleared.refused()) {
            listener.cleared(request, cleared.consecutiveCrashes());
        }
        if (cleared.wasStored()) {
            suspectListener.released(request);
        }
        return true;
    }

    /**
     * Evicts the suspect with the fewest and oldest crashes if a limit is reached: from the workspace of the new
     * request if that workspace is at its limit, and otherwise from the workspace with the most suspects.
     */
    private void evictIfFull(RequestFingerprint request) {
        Map<Long, Integer> counts = new HashMap<>();
        histories.keySet().forEach(other -> counts.merge(other.workspace(), 1, Integer::sum));
        if (counts.getOrDefault(request.workspace(), 0) >= MAX_SUSPECTS_OF_WORKSPACE) {
            evictFrom(request.workspace());
        } else if (histories.size() >= MAX_SUSPECTS) {
            counts.entrySet().stream().max(Map.Entry.comparingByValue()).ifPresent(most -> evictFrom(most.getKey()));
        }
    }

    private void evictFrom(long workspace) {
        RequestFingerprint least = null;
        CrashHistory leastHistory = null;
        for (Map.Entry<RequestFingerprint, CrashHistory> entry : histories.entrySet()) {
            if (entry.getKey().workspace() == workspace
                    && (leastHistory == null || evictedBefore(entry.getValue(), leastHistory))) {
                least = entry.getKey();
                leastHistory = entry.getValue();
            }
        }
        histories.remove(least);
    }

    private static boolean evictedBefore(CrashHistory one, CrashHistory other) {
        return one.consecutiveCrashes() == other.consecutiveCrashes()
                ? one.lastCrashMillis() < other.lastCrashMillis()
                : one.consecutiveCrashes() < other.consecutiveCrashes();
    }

    private void publish(SuspectReport report) {
        if (!report.isEmpty()) {
            suspectListener.found(report);
        }
    }

    /** Receives changes in the status of requests. */
    public interface Listener {
        /** Called when this router refuses a request for the first time because the request crashes its endpoints. */
        void quarantined(RequestFingerprint request, int crashes, String origin);

        /** Called when a quarantined request is let through once as a trial. */
        void tried(RequestFingerprint request, int crashes);

        /** Called when a request that this router had quarantined was answered, at this router or another. */
        void cleared(RequestFingerprint request, int crashes);
    }
}
