package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What is held against one request. Times are on the monotonic clock in milliseconds. Belongs to the traffic thread. */
final class Suspicion {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Ends from which a request is held to be the cause, whatever else speaks for it: innocent ones do not meet three in a row. */
    private static final int CERTAIN_ENDS = 3;

    /** Ends from which it is, if each came soon and no other request was at work at the same endpoints. */
    private static final int LIKELY_ENDS = 2;

    /** Ends that are remembered; more make no difference. */
    private static final int MOST_ENDS = 6;

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
    private long triedAtMillis = NEVER;
    private boolean seenHere;

    /** Takes an end; returns whether it is news. */
    boolean add(Sighting sighting, long nowMillis) {
        if (ends.size() >= MOST_ENDS || ends.containsKey(sighting.endpointHash())) {
            return false;
        }
        ends.put(sighting.endpointHash(), new End(nowMillis - sighting.ageMillis(), sighting.soon()));
        return true;
    }

    /** Takes that it is being tried, or was; returns whether that is news. */
    boolean tried(long atMillis) {
        boolean news = atMillis - triedAtMillis > SAME_TRIAL_MILLIS;
        triedAtMillis = Math.max(triedAtMillis, atMillis);
        return news;
    }

    /** Notes whether this router has seen one of the ends itself. */
    void seenHere(boolean now) {
        seenHere |= now;
    }

    /** Tells whether this router has seen one of the ends itself; one that has keeps the request in the store. */
    boolean seenHere() {
        return seenHere;
    }

    int ends() {
        return ends.size();
    }

    long lastEndMillis() {
        return ends.values().stream().mapToLong(End::atMillis).max().orElse(NEVER);
    }

    /** Tells whether it alone explains its ends, as far as they show. */
    boolean likely() {
        return ends.size() >= LIKELY_ENDS && ends.values().stream().allMatch(End::soon);
    }

    /** Tells whether it is held to be the cause whatever other requests have met. */
    boolean certain() {
        return ends.size() >= CERTAIN_ENDS;
    }

    /** Tells whether another request met all of the same ends. */
    boolean sharedWith(Suspicion other) {
        Set<Long> shared = new HashSet<>(ends.keySet());
        shared.removeAll(other.ends.keySet());
        return shared.isEmpty();
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
        int count = ends.size();
        if (count < LIKELY_ENDS) {
            return lastEndMillis();
        }
        return lastEndMillis() + PAUSES_MILLIS[Math.min(count - LIKELY_ENDS, PAUSES_MILLIS.length - 1)];
    }

    /** Returns it as it is told to others. */
    Suspect told(RequestFingerprint request, long nowMillis) {
        List<Sighting> sightings = new ArrayList<>(ends.size());
        ends.forEach((hash, end) -> sightings.add(new Sighting(hash, nowMillis - end.atMillis, end.soon)));
        return new Suspect(
                request, sightings, triedAtMillis == NEVER ? Suspect.NEVER_TRIED : nowMillis - triedAtMillis);
    }

    /** An endpoint that ended. */
    private record End(long atMillis, boolean soon) {}
}
