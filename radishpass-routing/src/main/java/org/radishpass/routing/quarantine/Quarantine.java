package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * Identifies features of requests that crash the endpoints that run them, and keeps requests with such a feature from
 * further endpoints. Combines the crashes that this router has seen with those that other routers report. Confined to
 * the traffic thread.
 *
 * <p>When an endpoint crashes, every request in progress there is a suspect, and so is every part of a prompt that the
 * endpoint had not begun to answer. A request that is sent again counts as the cause after a second crash if both crashes
 * came soon after the request was sent and if no other such suspect shares them, and otherwise after a third crash. A part
 * of a prompt counts as the cause after a third crash. If the endpoints of the service crash often, more crashes are
 * required. A request that is answered, and each part of a prompt that an endpoint begins to answer, is cleared at once
 * at all routers. A quarantine is limited: after a time that grows, one request is let through as a trial.
 *
 * @since 0.5.0
 */
public final class Quarantine {
    private static final String THIS_ROUTER = "this router";
    private static final String STORE = "the store";

    private final SuspectRegistry suspects = new SuspectRegistry();
    private final CauseJudge judge = new CauseJudge(suspects);
    private final SuspectCollector collector = new SuspectCollector();
    private final QuarantineListener listener;
    private SuspectListener suspectListener = SuspectListener.NONE;
    private volatile Map<CauseKind, Long> causeCounts = Map.of();

    /**
     * Creates a quarantine without suspects.
     *
     * @param listener receives changes in the status of requests
     */
    public Quarantine(QuarantineListener listener) {
        this.listener = listener;
    }

    /** Sets the listener that receives what this router finds out itself, for other routers and for the store. */
    public void setSuspectListener(SuspectListener newListener) {
        suspectListener = newListener;
    }

    /**
     * Sets what returns the software version of an endpoint by the hash of its id, or {@link SoftwareVersion#UNKNOWN}.
     * What an endpoint answers proves nothing about the software of another version.
     *
     * @since 0.11.0
     */
    public void endpointVersions(LongFunction<SoftwareVersion> versions) {
        collector.endpointVersions(versions);
    }

    /**
     * Sets what tells for the hash of a trial whether this router is elected to make it. By default, it is.
     *
     * @since 0.11.0
     */
    public void trialElection(LongPredicate elected) {
        judge.trialElection().elected(elected);
    }

    /**
     * Records that an endpoint has crashed.
     *
     * @param service the service of the endpoint
     * @param endpointHash the hash of the endpoint's id
     * @param inProgress the requests that were in progress at the endpoint
     * @param crashedAtMillis when the endpoint crashed, on the monotonic clock in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void endpointCrashed(
            String service,
            long endpointHash,
            Collection<InProgressRequest> inProgress,
            long crashedAtMillis,
            long nowMillis) {
        judge.countCrash(service, inProgress, nowMillis);
        List<Suspect> newSuspects = collector.collect(inProgress, endpointHash, nowMillis - crashedAtMillis).stream()
                .filter(suspect -> addLocalCrash(suspect, service, nowMillis))
                .toList();
        inProgress.forEach(request -> suspects.recordPrompt(request.request(), request.unansweredParts()));
        newSuspects.forEach(suspect -> storeIfCause(suspect.cause(), nowMillis));
        publish(new SuspectReport(newSuspects, List.of()));
    }

    private boolean addLocalCrash(Suspect suspect, String service, long nowMillis) {
        CrashHistory history = suspects.findOrCreate(suspect.cause());
        history.service(service);
        history.seenLocally();
        return history.addAll(suspect.crashes(), THIS_ROUTER, collector::softwareVersion, nowMillis);
    }

    /** Has a feature written to the store if it counts as a cause and this router itself saw one of its crashes. */
    private void storeIfCause(CrashCause cause, long nowMillis) {
        CrashHistory history = suspects.find(cause);
        if (history != null && history.wasSeenLocally() && judge.countsAsCause(history, nowMillis)) {
            history.stored();
            suspectListener.quarantined(history.toSuspect(nowMillis));
        }
    }

    /**
     * Records that a request was answered, which proves that the request as a whole is harmless.
     *
     * @param request the request
     * @param service the service that answered the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void answered(RequestFingerprint request, String service, long nowMillis) {
        judge.crashRate().answered(service, nowMillis);
        if (clear(request)) {
            publish(new SuspectReport(List.of(), List.of(request)));
        }
    }

    /**
     * Records that an endpoint has begun to answer a prompt, which proves that the parts of the prompt are harmless for
     * software of its version.
     *
     * @param parts the parts of the prompt
     * @param service the service of the endpoint
     * @param version the software version of the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.11.0
     */
    public void responseBegan(
            List<PromptPartFingerprint> parts, String service, SoftwareVersion version, long nowMillis) {
        if (parts.isEmpty()) {
            return;
        }
        judge.unansweredCrashRate().answered(service, nowMillis);
        List<CrashCause> cleared = new ArrayList<>(0);
        for (PromptPartFingerprint part : parts) {
            collector.answered(part, version);
            CrashHistory history = suspects.find(part);
            if (history != null && history.refute(version)) {
                clear(part);
                cleared.add(part);
            }
        }
        publish(new SuspectReport(List.of(), cleared));
    }

    /**
     * Records that a request is being sent. If this is the trial of a quarantined feature, other routers are told, so
     * that they wait for the outcome.
     *
     * @param features the features of the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(RequestFeatures features, long nowMillis) {
        if (suspects.size() == 0) {
            return;
        }
        for (CrashCause cause : features.all()) {
            CrashHistory history = suspects.find(cause);
            if (history != null && judge.status(history, features, nowMillis) == QuarantineStatus.ON_TRIAL) {
                history.tried(nowMillis);
                listener.tried(cause, history.consecutiveCrashes());
                publish(new SuspectReport(List.of(history.toSuspect(nowMillis)), List.of()));
            }
        }
    }

    /**
     * Merges the report of another router. A part of a prompt that this router knows to be harmless is not suspected, and
     * the other routers are told so.
     *
     * @param report the report
     * @param origin the name of the other router, for the log
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return the part of the report that was not known
     */
    public SuspectReport merge(SuspectReport report, String origin, long nowMillis) {
        List<CrashCause> refuted = new ArrayList<>(0);
        List<Suspect> newSuspects = new ArrayList<>(report.suspects().size());
        for (Suspect suspect : report.suspects()) {
            Suspect credible = collector.withoutRefutedCrashes(suspect);
            if (credible.crashes().isEmpty() && !suspect.crashes().isEmpty()) {
                refuted.add(suspect.cause());
            } else if (merge(credible, origin, nowMillis)) {
                newSuspects.add(credible);
            }
        }
        publish(new SuspectReport(List.of(), refuted));
        return new SuspectReport(
                newSuspects, report.cleared().stream().filter(this::clear).toList());
    }

    private boolean merge(Suspect suspect, String origin, long nowMillis) {
        CrashHistory history = suspects.findOrCreate(suspect.cause());
        boolean changed = history.addAll(suspect.crashes(), origin, collector::softwareVersion, nowMillis);
        if (changed) {
            storeIfCause(suspect.cause(), nowMillis);
        }
        if (suspect.tried()) {
            changed |= history.tried(nowMillis - suspect.triedMillisAgo());
        }
        return changed;
    }

    /** Merges the suspects read from the store. This router removes a suspect from the store if it proves harmless. */
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
     * Decides whether and how a request may be sent now. The feature with the most restrictive status decides.
     *
     * @param features the features of the request
     * @param service the service to which the request is to be sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.11.0
     */
    public QuarantineDecision decide(RequestFeatures features, String service, long nowMillis) {
        QuarantineDecision decision = QuarantineDecision.CLEAR;
        if (suspects.size() == 0) {
            return decision;
        }
        suspects.recordPrompt(features.request(), features.parts());
        for (CrashCause cause : features.all()) {
            CrashHistory history = suspects.find(cause);
            if (history == null || history.expired(nowMillis)) {
                continue;
            }
            history.service(service);
            QuarantineStatus status = judge.status(history, features, nowMillis);
            if (status.compareTo(decision.status()) > 0) {
                decision = new QuarantineDecision(status, cause, history.quarantinedUntilMillis());
            }
            if (status == QuarantineStatus.QUARANTINED && !history.refused()) {
                history.markRefused();
                listener.quarantined(cause, history.consecutiveCrashes(), history.origin());
            }
        }
        return decision;
    }

    /**
     * Returns the number of features of a kind that counted as causes of crashes at the last {@link #tidy}; callable
     * from any thread.
     */
    public int causeCount(CauseKind kind) {
        return causeCounts.getOrDefault(kind, 0L).intValue();
    }

    /** Removes expired suspects and counts the features that are quarantined or awaiting a trial. */
    public void tidy(long nowMillis) {
        suspects.removeIf(history -> history.expired(nowMillis));
        judge.tidy(nowMillis);
        causeCounts = suspects.all().stream()
                .filter(history -> judge.countsAsCause(history, nowMillis))
                .collect(Collectors.groupingBy(history -> history.cause().kind(), Collectors.counting()));
    }

    private boolean clear(CrashCause cause) {
        CrashHistory cleared = suspects.remove(cause);
        if (cleared == null) {
            return false;
        }
        if (cause instanceof PromptPartFingerprint part) {
            cleared.versions().forEach(version -> collector.answered(part, version));
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
}
