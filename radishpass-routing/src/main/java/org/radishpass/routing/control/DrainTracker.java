package org.radishpass.routing.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.DataCentreDrain;

/**
 * Which data centres are to get nothing new. What the store said at the highest revision holds, whoever tells it: a word that was taken
 * back is told on like one that was given, so that no router that missed it brings it back. A plain object without a clock; it belongs
 * to the control thread.
 */
final class DrainTracker {
    /** Data centres that are kept in mind: a hundred times those of a deployment; names come from outside. */
    private static final int MOST_KNOWN = 1_000;

    private final Map<DataCentre, Change> changes = new LinkedHashMap<>();

    /**
     * Takes an answer of the store.
     *
     * @param reading what it says
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether what is believed has changed
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

    /** What a whole reading does not name has been taken back by then. */
    private boolean endMissing(DrainReading reading, long nowMillis) {
        Set<DataCentre> named =
                reading.entries().stream().map(DataCentreDrain::dataCentre).collect(Collectors.toSet());
        boolean news = false;
        for (DataCentre missing : drained()) {
            if (!named.contains(missing)) {
                news |= offer(new DataCentreDrain(missing, reading.position(), false), nowMillis);
            }
        }
        return news;
    }

    /**
     * Takes what somebody says of a data centre.
     *
     * @param said what is said
     * @param sinceMillis since when it holds, on the monotonic clock in milliseconds
     * @return whether that is news
     */
    boolean offer(DataCentreDrain said, long sinceMillis) {
        Change before = changes.get(said.dataCentre());
        if (before == null && changes.size() >= MOST_KNOWN) {
            return false;
        }
        if (before != null
                && before.drain.position().revision() >= said.position().revision()) {
            return false;
        }
        boolean same = before != null && before.drain.drained() == said.drained();
        long heldSinceMillis = before != null && same ? before.sinceMillis : sinceMillis;
        changes.put(said.dataCentre(), new Change(said, heldSinceMillis));
        return true;
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
     * What holds of a data centre.
     *
     * @param drain what the store said
     * @param sinceMillis since when it holds, on the monotonic clock in milliseconds
     */
    record Change(DataCentreDrain drain, long sinceMillis) {}
}
