package org.radishpass.routing.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

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
     * The maximum number of suspects of one crash: the requests sent last, since the cause is among them. Few enough
     * for a message of 1.4 KB.
     */
    static final int MAX_SUSPECTS_OF_CRASH = 32;

    private static final String THIS_ROUTER = "this router";
    private static final String STORE = "the store";

    private final SuspectRegistry suspects = new SuspectRegistry();
    private final CauseJudge judge = new CauseJudge(suspects);
    private final Listener listener;
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
        judge.crashRate().crashed(service, inProgress.size(), nowMillis);
        List<Suspect> newSuspects = inProgress.stream()
                .sorted(Comparator.comparingLong(InProgressRequest::millis))
                .limit(MAX_SUSPECTS_OF_CRASH)
                .map(request -> suspect(request, endpointHash))
                .filter(suspect -> addLocalCrash(suspect, service, nowMillis))
                .toList();
        newSuspects.forEach(suspect -> storeIfCause(suspect.cause(), nowMillis));
        publish(new SuspectReport(newSuspects, List.of()));
    }

    private static Suspect suspect(InProgressRequest inProgress, long endpointHash) {
        return new Suspect(
                inProgress.request(),
                List.of(new EndpointCrash(endpointHash, 0, inProgress.millis())),
                Suspect.NEVER_TRIED);
    }

    private boolean addLocalCrash(Suspect suspect, String service, long nowMillis) {
        CrashHistory history = suspects.findOrCreate(suspect.cause());
        history.service(service);
        history.seenLocally();
        return history.addAll(suspect.crashes(), THIS_ROUTER, nowMillis);
    }

    /** Has the request written to the store if it counts as the cause and this router itself saw one of its crashes. */
    private void storeIfCause(CrashCause cause, long nowMillis) {
        CrashHistory history = suspects.find(cause);
        if (history != null && history.wasSeenLocally() && judge.countsAsCause(history, nowMillis)) {
            history.stored();
            suspectListener.quarantined(history.toSuspect(nowMillis));
        }
    }

    /**
     * Records that a request was answered, which proves that the request is harmless.
     *
     * @param cause the feature
     * @param service the service that answered the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void answered(CrashCause cause, String service, long nowMillis) {
        judge.crashRate().answered(service, nowMillis);
        if (clear(cause)) {
            publish(new SuspectReport(List.of(), List.of(cause)));
        }
    }

    /**
     * Records that a request is being sent. If this is the trial of a quarantined request, other routers are told, so
     * that they wait for the outcome.
     *
     * @param cause the feature
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(CrashCause cause, long nowMillis) {
        CrashHistory history = suspects.find(cause);
        if (history != null && status(history, nowMillis) == QuarantineStatus.ON_TRIAL) {
            history.tried(nowMillis);
            listener.tried(cause, history.consecutiveCrashes());
            publish(new SuspectReport(List.of(history.toSuspect(nowMillis)), List.of()));
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
        CrashHistory history = suspects.findOrCreate(suspect.cause());
        boolean changed = history.addAll(suspect.crashes(), origin, nowMillis);
        if (changed) {
            storeIfCause(suspect.cause(), nowMillis);
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
     * @param stored the suspects in the store
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void mergeStored(Collection<Suspect> stored, long nowMillis) {
        for (Suspect suspect : stored) {
            merge(suspect, STORE, nowMillis);
            suspects.findOrCreate(suspect.cause()).stored();
        }
    }

    /** Returns a report of all suspects. */
    public SuspectReport all(long nowMillis) {
        List<Suspect> all = suspects.all().stream()
                .map(history -> history.toSuspect(nowMillis))
                .toList();
        return new SuspectReport(all, List.of());
    }

    /**
     * Returns the status of a request, which decides whether and how the request may be sent now.
     *
     * @param cause the feature
     * @param service the service to which the request is to be sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public QuarantineStatus status(CrashCause cause, String service, long nowMillis) {
        CrashHistory history = suspects.find(cause);
        if (history == null || history.expired(nowMillis)) {
            return QuarantineStatus.CLEAR;
        }
        history.service(service);
        QuarantineStatus status = status(history, nowMillis);
        if (status == QuarantineStatus.QUARANTINED && !history.refused()) {
            history.markRefused();
            listener.quarantined(cause, history.consecutiveCrashes(), history.origin());
        }
        return status;
    }

    private QuarantineStatus status(CrashHistory history, long nowMillis) {
        return judge.countsAsCause(history, nowMillis) ? history.status(nowMillis) : QuarantineStatus.SUSPECTED;
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
        suspects.removeIf(history -> history.expired(nowMillis));
        judge.crashRate().tidy(nowMillis);
        causeCount = (int) suspects.all().stream()
                .filter(history -> judge.countsAsCause(history, nowMillis))
                .count();
    }

    private boolean clear(CrashCause cause) {
        CrashHistory cleared = suspects.remove(cause);
        if (cleared == null) {
            return false;
        }
        if (cleared.refused()) {
            listener.cleared(cause, cleared.consecutiveCrashes());
        }
        if (cleared.wasStored()) {
            suspectListener.released(cause);
        }
        return true;
    }

    private void publish(SuspectReport report) {
        if (!report.isEmpty()) {
            suspectListener.found(report);
        }
    }

    /** Receives changes in the status of requests. */
    public interface Listener {
        /** Called when this router refuses a request for the first time because the request crashes its endpoints. */
        void quarantined(CrashCause cause, int crashes, String origin);

        /** Called when a quarantined request is let through once as a trial. */
        void tried(CrashCause cause, int crashes);

        /** Called when a request that this router had quarantined was answered, at this router or another. */
        void cleared(CrashCause cause, int crashes);
    }
}
