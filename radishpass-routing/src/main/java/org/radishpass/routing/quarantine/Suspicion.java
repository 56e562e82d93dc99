package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What is held against one request. Only ends that follow each other count: the request was sent to the next endpoint after the one before
 * had ended. A rack that fails takes many endpoints at once, and with them many equal requests, as those of callers that poll; that
 * is one end. Times are on the monotonic clock in milliseconds. Belongs to the traffic thread.
 */
final class Suspicion {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Ends in a row without which nothing is held against a request. */
    private static final int LEAST_ENDS = 2;

    /** Milliseconds after a request was sent within which an end speaks against it: it ends its endpoint as it begins to run. */
    private static final long SOON_MILLIS = 1_000;

    /** Ends that are remembered; more make no difference. */
    private static final int MOST_ENDS = 8;

    /**
     * How long a request is held back after its second, third, fourth and later end. A try costs an engine and the answers of its
     * other callers, 2 to 14 of them in the case that this was built for; one that ended three endpoints ends the fourth almost surely.
     */
    private static final long[] PAUSES_MILLIS = {
        TimeUnit.MINUTES.toMillis(1),
        TimeUnit.MINUTES.toMillis(10),
        TimeUnit.HOURS.toMillis(2),
        TimeUnit.HOURS.toMillis(24)
    };

    /** How long after its last end a request is remembered that is not held back, or not any more. */
    private static final long MEMORY_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** How long others wait for what becomes of a try: longer than the answers of today's deployments take. */
    private static final long TRIAL_MILLIS = 30_000;

    /** Trials that were told of within so many milliseconds are one: its age grows a little on its way. */
    private static final long SAME_TRIAL_MILLIS = 5_000;

    private final Map<Long, End> ends = new LinkedHashMap<>();
    private int endsInRow;
    private boolean allSoon;
    private long lastEndMillis = NEVER;
    private long triedAtMillis = NEVER;
    private boolean seenHere;
    private boolean held;
    private boolean kept;
    private String service = "";
    private String origin = "";

    /** Takes ends; returns whether one of them is news. */
    boolean addAll(List<Sighting> sightings, String from, long nowMillis) {
        boolean news = false;
        for (Sighting sighting : sightings) {
            news |= add(sighting, from, nowMillis);
        }
        return news;
    }

    private boolean add(Sighting sighting, String from, long nowMillis) {
        if (ends.size() >= MOST_ENDS || ends.containsKey(sighting.endpointHash())) {
            return false;
        }
        long atMillis = nowMillis - sighting.ageMillis();
        ends.put(sighting.endpointHash(), new End(atMillis, sighting.atWorkMillis()));
        origin = from;
        count();
        return true;
    }

    private void count() {
        endsInRow = 0;
        allSoon = true;
        lastEndMillis = NEVER;
        List<End> inOrder = new ArrayList<>(ends.values());
        inOrder.sort(Comparator.comparingLong(End::atMillis));
        for (End end : inOrder) {
            if (end.sentAtMillis() >= lastEndMillis) {
                endsInRow++;
                allSoon &= end.atWorkMillis <= SOON_MILLIS;
                lastEndMillis = end.atMillis;
            }
        }
    }

    /** Takes that it is being tried, or was; returns whether that is news. */
    boolean tried(long atMillis) {
        boolean news = atMillis - triedAtMillis > SAME_TRIAL_MILLIS;
        triedAtMillis = Math.max(triedAtMillis, atMillis);
        return news;
    }

    /** Notes that this router has seen one of the ends itself. */
    void seenHere() {
        seenHere = true;
    }

    /** Tells whether this router has seen one of the ends itself. */
    boolean wasSeenHere() {
        return seenHere;
    }

    /** Notes that the store has a row of it. */
    void kept() {
        kept = true;
    }

    /** Tells whether the store has a row of it, as far as this router knows. */
    boolean wasKept() {
        return kept;
    }

    /** Returns how many ends have followed each other. */
    int endsInRow() {
        return endsInRow;
    }

    long lastEndMillis() {
        return lastEndMillis;
    }

    /** Tells whether its ends came as they do that a request causes: more than one, each soon after it was sent. */
    boolean typical() {
        return endsInRow >= LEAST_ENDS && allSoon;
    }

    /** Tells whether it has been refused because it is held to be the cause of its ends. */
    boolean held() {
        return held;
    }

    void hold() {
        held = true;
    }

    /** Returns the service that it is for; empty while this router has not seen it. */
    String service() {
        return service;
    }

    /** Notes the service that it is for. */
    void service(String name) {
        service = name;
    }

    /** Returns who has told last of an end. */
    String origin() {
        return origin;
    }

    /** Tells whether another request met all of the same ends. */
    boolean sharedWith(Suspicion other) {
        return other.ends.keySet().containsAll(ends.keySet());
    }

    /** Returns what may be done with it, given that it is held to be the cause. */
    Standing standing(long nowMillis) {
        long heldUntilMillis = heldUntilMillis();
        if (nowMillis < heldUntilMillis) {
            return Standing.QUARANTINED;
        }
        boolean beingTried = triedAtMillis >= heldUntilMillis && nowMillis - triedAtMillis < TRIAL_MILLIS;
        return beingTried ? Standing.QUARANTINED : Standing.ON_TRIAL;
    }

    /** Tells whether it makes no difference any more. */
    boolean outdated(long nowMillis) {
        return nowMillis > heldUntilMillis() + MEMORY_MILLIS;
    }

    private long heldUntilMillis() {
        if (endsInRow < LEAST_ENDS) {
            return lastEndMillis;
        }
        return lastEndMillis + PAUSES_MILLIS[Math.min(endsInRow - LEAST_ENDS, PAUSES_MILLIS.length - 1)];
    }

    /** Returns it as it is told to others. */
    Suspect told(RequestFingerprint request, long nowMillis) {
        List<Sighting> sightings = new ArrayList<>(ends.size());
        ends.forEach((hash, end) -> sightings.add(new Sighting(hash, nowMillis - end.atMillis, end.atWorkMillis)));
        return new Suspect(
                request, sightings, triedAtMillis == NEVER ? Suspect.NEVER_TRIED : nowMillis - triedAtMillis);
    }

    /** An endpoint that ended, and how long before the request had been sent there. */
    private record End(long atMillis, long atWorkMillis) {
        private long sentAtMillis() {
            return atMillis - atWorkMillis;
        }
    }
}
