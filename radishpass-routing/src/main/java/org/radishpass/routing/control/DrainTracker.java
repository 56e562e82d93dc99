package org.radishpass.routing.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.StorePosition;

/**
 * Which data centres are to get nothing new. What the store said at the latest place in its history holds, whoever tells it: the end of a drain is
 * told on like its beginning, so that no router that missed it brings it back. A plain object without a clock; it belongs to the control thread.
 */
final class DrainTracker {
    /** Milliseconds that a row which a snapshot lacked has to be written again: as much as registrations of endpoints have. */
    static final long GRACE_MILLIS = ReadingContinuity.GRACE_MILLIS;

    /** Data centres that are kept in mind: a hundred times those of a deployment; names come from outside. */
    private static final int MOST_KNOWN = 1_000;

    private final Map<DataCentre, Change> changes = new LinkedHashMap<>();
    private final Map<DataCentre, StorePosition> requests = new HashMap<>();
    private final Map<DataCentre, Missing> missing = new LinkedHashMap<>();

    /**
     * Takes an answer of the store.
     *
     * @param reading what it says
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether what is known has changed
     */
    boolean read(DrainReading reading, long nowMillis) {
        boolean news = false;
        for (DataCentreDrain entry : reading.entries()) {
            news |= offer(entry, nowMillis);
        }
        if (reading.whole()) {
            news |= endMissing(reading, nowMillis);
        }
        return news;
    }

    /** What a whole reading does not name has been taken back by then, or is missing from the snapshot from which the store was restored. */
    private boolean endMissing(DrainReading reading, long nowMillis) {
        Set<DataCentre> named =
                reading.entries().stream().map(DataCentreDrain::dataCentre).collect(Collectors.toSet());
        boolean news = false;
        for (Change change : List.copyOf(changes.values())) {
            DataCentre dataCentre = change.drain.dataCentre();
            if (!change.drain.drained() || named.contains(dataCentre)) {
                continue;
            }
            if (reading.position().inLaterEraThan(change.drain.position())) {
                missing.putIfAbsent(dataCentre, new Missing(reading.position(), nowMillis + GRACE_MILLIS));
            } else {
                news |= offer(new DataCentreDrain(dataCentre, reading.position(), false), nowMillis);
            }
        }
        return news;
    }

    /** Tells whether some data centres stay drained only until their rows had time to be written again. */
    boolean awaitsRows() {
        return !missing.isEmpty();
    }

    /**
     * Ends what a snapshot lacked and was not written again in time.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether what is known has changed
     */
    boolean expire(long nowMillis) {
        boolean news = false;
        for (Map.Entry<DataCentre, Missing> entry : List.copyOf(missing.entrySet())) {
            if (nowMillis >= entry.getValue().untilMillis()) {
                missing.remove(entry.getKey());
                news |= offer(
                        new DataCentreDrain(entry.getKey(), entry.getValue().readAt(), false), nowMillis);
            }
        }
        return news;
    }

    /**
     * Takes what the store or a peer says of a data centre.
     *
     * @param said what is said
     * @param sinceMillis since when it holds, on the monotonic clock in milliseconds
     * @return whether that is news
     */
    boolean offer(DataCentreDrain said, long sinceMillis) {
        Change before = changes.get(said.dataCentre());
        if (before == null ? changes.size() >= MOST_KNOWN : !replaces(said, before.drain)) {
            return false;
        }
        DataCentreDrain taken = before != null && broughtBack(said, before.drain)
                ? new DataCentreDrain(said.dataCentre(), said.position(), false)
                : said;
        missing.remove(taken.dataCentre());
        if (taken.drained()) {
            requests.put(taken.dataCentre(), taken.position());
        }
        boolean same = before != null && before.drain.drained() == taken.drained();
        long heldSinceMillis = before != null && same ? before.sinceMillis : sinceMillis;
        changes.put(taken.dataCentre(), new Change(taken, heldSinceMillis));
        return true;
    }

    /** At the same place the end of a drain counts: a router that knows of no end has the row of a snapshot from before it. */
    private static boolean replaces(DataCentreDrain said, DataCentreDrain known) {
        boolean ended = said.position().equals(known.position()) && known.drained() && !said.drained();
        return ended || said.position().after(known.position());
    }

    /** Tells whether a row that was removed is back only because the snapshot of a restored store still had it. */
    private boolean broughtBack(DataCentreDrain said, DataCentreDrain known) {
        StorePosition request = requests.get(said.dataCentre());
        return said.drained()
                && !known.drained()
                && request != null
                && said.position().inLaterEraThan(known.position())
                && said.position().sameRowAs(request);
    }

    /** Returns the data centres to which nothing new is sent. */
    Set<DataCentre> drained() {
        return changes.values().stream()
                .map(Change::drain)
                .filter(DataCentreDrain::drained)
                .map(DataCentreDrain::dataCentre)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns when data centres were given back that had been drained, on the monotonic clock in milliseconds. */
    Map<DataCentre, Long> returnedAtMillis() {
        return changes.values().stream()
                .filter(change -> !change.drain.drained())
                .collect(Collectors.toUnmodifiableMap(change -> change.drain.dataCentre(), Change::sinceMillis));
    }

    /** Returns all that is known, for peers. */
    Collection<Change> changes() {
        return List.copyOf(changes.values());
    }

    /**
     * A data centre that is drained, and whose row a restored store does not have.
     *
     * @param readAt where in the store's history it was missing first
     * @param untilMillis until when it stays drained, on the monotonic clock in milliseconds
     */
    private record Missing(StorePosition readAt, long untilMillis) {}

    /**
     * What holds of a data centre.
     *
     * @param drain what the store said
     * @param sinceMillis since when it holds, on the monotonic clock in milliseconds
     */
    record Change(DataCentreDrain drain, long sinceMillis) {}
}
