package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which requests are kept from endpoints because they end them, as far as this router and those that tell it know. Belongs to the traffic
 * thread.
 *
 * <p>Whenever an endpoint ends, every request at work there may have been the cause. One that is sent again and meets a second end soon after
 * that, and alone, or a third end however it came, is held to be it. Whatever is answered is cleared at once, at all routers: a request that
 * ends its endpoints is never answered. What is believed ages: after a pause that grows with the ends one try is made.
 *
 * @since 0.5.0
 */
public final class Quarantine {
    /** Requests that are remembered: 0.9 KB each with six ends, 1.8 MB in all. No caller makes many without ending endpoints. */
    static final int MOST_SUSPECTS = 2_048;

    /** The part of them that one workspace's requests take at most: beyond it they displace each other, and nobody else's. */
    static final int MOST_OF_WORKSPACE = 256;

    /** Requests of one end that are told: the youngest, since the cause is among them, and few enough for a message of 2 KB. */
    static final int MOST_OF_END = 32;

    private static final String THIS_ROUTER = "this router";

    private final Map<RequestFingerprint, Suspicion> suspicions = new LinkedHashMap<>();
    private final Listener listener;
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
     * @param endpointHash the hash of its id
     * @param atWork the requests that were at work there
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void ended(long endpointHash, Collection<AtWork> atWork, long nowMillis) {
        List<Suspect> news = new ArrayList<>();
        atWork.stream()
                .sorted((one, other) -> Long.compare(one.millis(), other.millis()))
                .limit(MOST_OF_END)
                .forEach(one -> {
                    Sighting sighting = new Sighting(endpointHash, 0, one.millis());
                    if (add(one.request(), List.of(sighting), nowMillis, THIS_ROUTER)) {
                        news.add(new Suspect(one.request(), List.of(sighting), Suspect.NEVER_TRIED));
                    }
                });
        tell(new SuspectReport(news, List.of()));
    }

    /**
     * Notes that a request was answered: it is harmless.
     *
     * @param request the request
     */
    public void answered(RequestFingerprint request) {
        Suspicion suspicion = suspicions.get(request);
        if (suspicion == null) {
            return;
        }
        boolean held = heldToBeTheCause(suspicion);
        clear(request);
        tell(new SuspectReport(List.of(), List.of(request)));
        if (held) {
            outward.released(request);
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
        if (suspicion != null && standing(request, nowMillis) == Standing.ON_TRIAL) {
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
        boolean news = add(suspect.request(), suspect.ends(), nowMillis, origin);
        Suspicion suspicion = suspicions.get(suspect.request());
        if (suspicion != null && suspect.tried()) {
            news |= suspicion.tried(nowMillis - suspect.triedMillisAgo());
        }
        return news;
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
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public Standing standing(RequestFingerprint request, long nowMillis) {
        Suspicion suspicion = suspicions.get(request);
        if (suspicion == null || suspicion.outdated(nowMillis)) {
            return Standing.CLEAR;
        }
        return heldToBeTheCause(suspicion) ? suspicion.standing(nowMillis) : Standing.SUSPECTED;
    }

    /** Returns how many requests were held to end their endpoints when last tidied up; from any thread. */
    public int held() {
        return held;
    }

    /** Forgets what makes no difference any more. */
    public void tidy(long nowMillis) {
        suspicions.values().removeIf(suspicion -> suspicion.outdated(nowMillis));
        held = (int) suspicions.values().stream().filter(this::heldToBeTheCause).count();
    }

    private boolean heldToBeTheCause(Suspicion suspicion) {
        return suspicion.certain() || (suspicion.likely() && alone(suspicion));
    }

    /** Two requests that met the same two ends cannot be told apart by them; the third end, or an answer, does. */
    private boolean alone(Suspicion suspicion) {
        return suspicions.values().stream()
                .noneMatch(other -> other != suspicion && other.likely() && suspicion.sharedWith(other));
    }

    private boolean add(RequestFingerprint request, List<Sighting> ends, long nowMillis, String origin) {
        Suspicion suspicion = suspicions.get(request);
        if (suspicion == null) {
            makeRoom(request);
            suspicion = new Suspicion();
            suspicions.put(request, suspicion);
        }
        boolean heldBefore = heldToBeTheCause(suspicion);
        boolean news = false;
        for (Sighting end : ends) {
            news |= suspicion.add(end, nowMillis);
        }
        if (!heldBefore && heldToBeTheCause(suspicion)) {
            listener.quarantined(request, suspicion.endsInRow(), origin);
        }
        suspicion.seenHere(origin.equals(THIS_ROUTER));
        if (news && suspicion.seenHere() && heldToBeTheCause(suspicion)) {
            outward.quarantined(suspicion.told(request, nowMillis));
        }
        return news;
    }

    private boolean clear(RequestFingerprint request) {
        Suspicion cleared = suspicions.remove(request);
        if (cleared != null && cleared.endsInRow() > 1) {
            listener.cleared(request, cleared.endsInRow());
        }
        return cleared != null;
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
        /** A request is held to end its endpoints from now on. */
        void quarantined(RequestFingerprint request, int ends, String origin);

        /** A request that was held back is let through once. */
        void tried(RequestFingerprint request, int ends);

        /** A request with which several endpoints had ended was answered, here or elsewhere. */
        void cleared(RequestFingerprint request, int ends);
    }
}
