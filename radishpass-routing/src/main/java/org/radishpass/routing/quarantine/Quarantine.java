package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which requests are kept from endpoints because they end them, as far as this router and those that tell it know. Belongs to the traffic
 * thread.
 *
 * <p>Whenever an endpoint ends, every request at work there may have been the cause. One that is sent again and meets a second end soon after
 * that, and alone, or a third end however it came, is held to be it; of a service whose endpoints often end, more are asked for.
 * Whatever is answered is cleared at once, at all routers: a request that ends its endpoints is never answered. What is believed ages:
 * after a pause that grows with the ends one try is made.
 *
 * @since 0.5.0
 */
public final class Quarantine {
    /** Requests that are remembered: 0.9 KB each with six ends, 1.8 MB in all. No caller makes many without ending endpoints. */
    static final int MOST_SUSPECTS = 2_048;

    /** The part of them that one workspace's requests take at most: beyond it they displace each other, and nobody else's. */
    static final int MOST_OF_WORKSPACE = 256;

    /** Requests of one end that are told: the youngest, since the cause is among them, and few enough for a message of 1.4 KB. */
    static final int MOST_OF_END = 32;

    /** Ends in a row from which a request is held to be the cause that did not come soon each time, or met them with another one. */
    private static final int ENDS_OTHERWISE = 3;

    private static final String THIS_ROUTER = "this router";
    private static final String THE_STORE = "the store";

    private final Map<RequestFingerprint, Suspicion> suspicions = new LinkedHashMap<>();
    private final Listener listener;
    private final BackgroundEnds background = new BackgroundEnds();
    private SuspectListener outward = SuspectListener.NONE;
    private volatile int held;

    /**
     * Creates one that knows nothing.
     *
     * @param listener hears of what changes
     */
    public Quarantine(Listener listener) {
        this.listener = listener;
    }

    /**
     * Sets who hears of what this router finds out itself.
     *
     * @param newListener hears of it
     */
    public void onNews(SuspectListener newListener) {
        outward = newListener;
    }

    /**
     * Notes that an endpoint has ended.
     *
     * @param service the service that it answered for
     * @param endpointHash the hash of its id
     * @param atWork the requests that were at work there
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void ended(String service, long endpointHash, Collection<AtWork> atWork, long nowMillis) {
        background.ended(service, atWork.size(), nowMillis);
        List<Suspect> news = atWork.stream()
                .sorted(Comparator.comparingLong(AtWork::millis))
                .limit(MOST_OF_END)
                .map(one -> suspect(one, endpointHash))
                .filter(suspect -> seenHere(suspect, service, nowMillis))
                .toList();
        news.forEach(suspect -> keepIfHeld(suspect.request(), nowMillis));
        tell(new SuspectReport(news, List.of()));
    }

    private static Suspect suspect(AtWork one, long endpointHash) {
        return new Suspect(one.request(), List.of(new Sighting(endpointHash, 0, one.millis())), Suspect.NEVER_TRIED);
    }

    private boolean seenHere(Suspect suspect, String service, long nowMillis) {
        Suspicion suspicion = suspicion(suspect.request());
        suspicion.service(service);
        suspicion.seenHere();
        return suspicion.addAll(suspect.ends(), THIS_ROUTER, nowMillis);
    }

    /** A router that has seen one of the ends itself sees to it that the request is kept in the store. */
    private void keepIfHeld(RequestFingerprint request, long nowMillis) {
        Suspicion suspicion = suspicions.get(request);
        if (suspicion != null && suspicion.wasSeenHere() && heldToBeTheCause(suspicion, nowMillis)) {
            suspicion.kept();
            outward.quarantined(suspicion.told(request, nowMillis));
        }
    }

    /**
     * Notes that a request was answered: it is harmless.
     *
     * @param request the request
     * @param service the service that answered it
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void answered(RequestFingerprint request, String service, long nowMillis) {
        background.answered(service, nowMillis);
        if (clear(request)) {
            tell(new SuspectReport(List.of(), List.of(request)));
        }
    }

    /**
     * Notes that a request is being sent. If that is its trial, other routers are told so that they wait for what becomes of it.
     *
     * @param request the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(RequestFingerprint request, long nowMillis) {
        Suspicion suspicion = suspicions.get(request);
        if (suspicion != null && standing(suspicion, nowMillis) == Standing.ON_TRIAL) {
            suspicion.tried(nowMillis);
            listener.tried(request, suspicion.endsInRow());
            tell(new SuspectReport(List.of(suspicion.told(request, nowMillis)), List.of()));
        }
    }

    /**
     * Takes what another router tells.
     *
     * @param report what it tells
     * @param origin who tells it, for the log
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return the part of it that was not known
     */
    public SuspectReport told(SuspectReport report, String origin, long nowMillis) {
        List<Suspect> news = report.suspects().stream()
                .filter(suspect -> told(suspect, origin, nowMillis))
                .toList();
        return new SuspectReport(
                news, report.cleared().stream().filter(this::clear).toList());
    }

    private boolean told(Suspect suspect, String origin, long nowMillis) {
        Suspicion suspicion = suspicion(suspect.request());
        boolean news = suspicion.addAll(suspect.ends(), origin, nowMillis);
        if (news) {
            keepIfHeld(suspect.request(), nowMillis);
        }
        if (suspect.tried()) {
            news |= suspicion.tried(nowMillis - suspect.triedMillisAgo());
        }
        return news;
    }

    /**
     * Takes what the store has kept of earlier days; this router removes a row when its request proves harmless.
     *
     * @param suspects the requests
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void restored(Collection<Suspect> suspects, long nowMillis) {
        for (Suspect suspect : suspects) {
            told(suspect, THE_STORE, nowMillis);
            suspicion(suspect.request()).kept();
        }
    }

    /** Returns all that is believed. */
    public SuspectReport all(long nowMillis) {
        List<Suspect> suspects = new ArrayList<>(suspicions.size());
        suspicions.forEach((request, suspicion) -> suspects.add(suspicion.told(request, nowMillis)));
        return new SuspectReport(suspects, List.of());
    }

    /**
     * Returns what may be done with a request now.
     *
     * @param request the request
     * @param service the service that it is for
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public Standing standing(RequestFingerprint request, String service, long nowMillis) {
        Suspicion suspicion = suspicions.get(request);
        if (suspicion == null || suspicion.outdated(nowMillis)) {
            return Standing.CLEAR;
        }
        suspicion.service(service);
        Standing standing = standing(suspicion, nowMillis);
        if (standing == Standing.QUARANTINED && !suspicion.held()) {
            suspicion.hold();
            listener.quarantined(request, suspicion.endsInRow(), suspicion.origin());
        }
        return standing;
    }

    private Standing standing(Suspicion suspicion, long nowMillis) {
        return heldToBeTheCause(suspicion, nowMillis) ? suspicion.standing(nowMillis) : Standing.SUSPECTED;
    }

    /** Returns how many requests were held to end their endpoints when last tidied up; from any thread. */
    public int held() {
        return held;
    }

    /** Forgets what makes no difference any more. */
    public void tidy(long nowMillis) {
        suspicions.values().removeIf(suspicion -> suspicion.outdated(nowMillis));
        background.tidy(nowMillis);
        held = (int) suspicions.values().stream()
                .filter(suspicion -> heldToBeTheCause(suspicion, nowMillis))
                .count();
    }

    /** What is once refused stays so until it is answered or forgotten: ends of others make it no better. */
    private boolean heldToBeTheCause(Suspicion suspicion, long nowMillis) {
        if (suspicion.held()) {
            return true;
        }
        int needed = background.endsNeeded(suspicion.service(), nowMillis);
        boolean fewTell = suspicion.typical() && alone(suspicion);
        return suspicion.endsInRow() >= (fewTell ? needed : Math.max(needed, ENDS_OTHERWISE));
    }

    /** Two requests that met the same two ends cannot be told apart by them; the third end, or an answer, does. */
    private boolean alone(Suspicion suspicion) {
        return suspicions.values().stream()
                .noneMatch(other -> other != suspicion && other.typical() && suspicion.sharedWith(other));
    }

    private Suspicion suspicion(RequestFingerprint request) {
        Suspicion known = suspicions.get(request);
        if (known == null) {
            makeRoom(request);
            known = new Suspicion();
            suspicions.put(request, known);
        }
        return known;
    }

    private boolean clear(RequestFingerprint request) {
        Suspicion cleared = suspicions.remove(request);
        if (cleared == null) {
            return false;
        }
        if (cleared.held()) {
            listener.cleared(request, cleared.endsInRow());
        }
        if (cleared.wasKept()) {
            outward.released(request);
        }
        return true;
    }

    /** Drops the request with the fewest and oldest ends, of the same workspace if that has many, else of the one with the most. */
    private void makeRoom(RequestFingerprint request) {
        Map<Long, Integer> counts = new HashMap<>();
        suspicions.keySet().forEach(other -> counts.merge(other.workspace(), 1, Integer::sum));
        if (counts.getOrDefault(request.workspace(), 0) >= MOST_OF_WORKSPACE) {
            drop(request.workspace());
        } else if (suspicions.size() >= MOST_SUSPECTS) {
            counts.entrySet().stream().max(Map.Entry.comparingByValue()).ifPresent(most -> drop(most.getKey()));
        }
    }

    private void drop(long workspace) {
        RequestFingerprint least = null;
        Suspicion leastSuspicion = null;
        for (Map.Entry<RequestFingerprint, Suspicion> entry : suspicions.entrySet()) {
            if (entry.getKey().workspace() == workspace
                    && (leastSuspicion == null || before(entry.getValue(), leastSuspicion))) {
                least = entry.getKey();
                leastSuspicion = entry.getValue();
            }
        }
        suspicions.remove(least);
    }

    private static boolean before(Suspicion one, Suspicion other) {
        return one.endsInRow() == other.endsInRow()
                ? one.lastEndMillis() < other.lastEndMillis()
                : one.endsInRow() < other.endsInRow();
    }

    private void tell(SuspectReport report) {
        if (!report.isEmpty()) {
            outward.found(report);
        }
    }

    /** Hears of what is believed of requests. */
    public interface Listener {
        /** A request is refused for the first time since it is held to end its endpoints. */
        void quarantined(RequestFingerprint request, int ends, String origin);

        /** A request that was held back is let through once. */
        void tried(RequestFingerprint request, int ends);

        /** A request that was refused here because of its ends was answered, here or elsewhere. */
        void cleared(RequestFingerprint request, int ends);
    }
}
