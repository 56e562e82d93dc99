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
 * Tracks which data centres are drained, so that nothing new is sent to them. For each data centre, the statement at
 * the latest position in the store's history holds, whichever source reports it. The end of a drain is propagated like
 * its beginning, so that a router that missed the end does not reinstate the drain. The class has no clock of its own
 * and is confined to the control thread.
 */
final class DrainTracker {
    /**
     * Milliseconds within which a row that is missing from a snapshot has to be written again; endpoint registrations
     * have the same time.
     */
    static final long GRACE_MILLIS = ReadContinuity.ABSENCE_GRACE_MILLIS;

    /**
     * Maximum number of tracked data centres, 100 times as many as a deployment has. The limit is needed because the
     * names come from outside.
     */
    private static final int MAX_DATA_CENTRES = 1_000;

    private final Map<DataCentre, Change> changes = new LinkedHashMap<>();
    private final Map<DataCentre, StorePosition> latestDrainPositions = new HashMap<>();
    private final Map<DataCentre, MissingRow> missingRows = new LinkedHashMap<>();

    /**
     * Applies a response of the store.
     *
     * @param report the drains that the response reports
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     * @return whether the tracked state has changed
     */
    boolean apply(DrainReport report, long nowMillis) {
        boolean changed = false;
        for (DataCentreDrain entry : report.entries()) {
            changed |= offer(entry, nowMillis);
        }
        if (report.complete()) {
            changed |= endUnlistedDrains(report, nowMillis);
        }
        return changed;
    }

    /**
     * Handles drains that a complete report does not list. Such a drain has ended by then, or its row is missing from
     * the snapshot from which the store was restored.
     */
    private boolean endUnlistedDrains(DrainReport report, long nowMillis) {
        Set<DataCentre> listedDataCentres =
                report.entries().stream().map(DataCentreDrain::dataCentre).collect(Collectors.toSet());
        boolean changed = false;
        for (Change change : List.copyOf(changes.values())) {
            DataCentre dataCentre = change.drain.dataCentre();
            if (!change.drain.drained() || listedDataCentres.contains(dataCentre)) {
                continue;
            }
            if (report.position().inLaterEraThan(change.drain.position())) {
                missingRows.putIfAbsent(dataCentre, new MissingRow(report.position(), nowMillis + GRACE_MILLIS));
            } else {
                changed |= offer(new DataCentreDrain(dataCentre, report.position(), false), nowMillis);
            }
        }
        return changed;
    }

    /** Tells whether some data centres stay drained only until their missing rows have had time to be written again. */
    boolean hasMissingRows() {
        return !missingRows.isEmpty();
    }

    /**
     * Ends the drains whose rows were missing from a snapshot and were not written again in time.
     *
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     * @return whether the tracked state has changed
     */
    boolean expire(long nowMillis) {
        boolean changed = false;
        for (Map.Entry<DataCentre, MissingRow> entry : List.copyOf(missingRows.entrySet())) {
            if (nowMillis >= entry.getValue().untilMillis()) {
                missingRows.remove(entry.getKey());
                changed |= offer(
                        new DataCentreDrain(entry.getKey(), entry.getValue().readAt(), false), nowMillis);
            }
        }
        return changed;
    }

    /**
     * Applies a statement of the store or of a peer about a data centre.
     *
     * @param statement the statement
     * @param sinceMillis since when the statement holds, on the monotonic clock in milliseconds
     * @return whether the tracked state has changed
     */
    boolean offer(DataCentreDrain statement, long sinceMillis) {
        Change before = changes.get(statement.dataCentre());
        if (before == null ? changes.size() >= MAX_DATA_CENTRES : !replaces(statement, before.drain)) {
            return false;
        }
        DataCentreDrain accepted = before != null && isStaleSnapshotRow(statement, before.drain)
                ? new DataCentreDrain(statement.dataCentre(), statement.position(), false)
                : statement;
        missingRows.remove(accepted.dataCentre());
        if (accepted.drained()) {
            latestDrainPositions.put(accepted.dataCentre(), accepted.position());
        }
        boolean sameState = before != null && before.drain.drained() == accepted.drained();
        long stateSinceMillis = before != null && sameState ? before.sinceMillis : sinceMillis;
        changes.put(accepted.dataCentre(), new Change(accepted, stateSinceMillis));
        return true;
    }

    /**
     * Tells whether a statement replaces the known one. At the same position the end of a drain takes precedence: a
     * router that does not know of the end has read the row from a snapshot taken before the drain ended.
     */
    private static boolean replaces(DataCentreDrain statement, DataCentreDrain known) {
        boolean ended = statement.position().equals(known.position()) && known.drained() && !statement.drained();
        return ended || statement.position().after(known.position());
    }

    /** Tells whether a removed row has reappeared only because the snapshot of a restored store still contained it. */
    private boolean isStaleSnapshotRow(DataCentreDrain statement, DataCentreDrain known) {
        StorePosition drainPosition = latestDrainPositions.get(statement.dataCentre());
        return statement.drained()
                && !known.drained()
                && drainPosition != null
                && statement.position().inLaterEraThan(known.position())
                && statement.position().sameRowAs(drainPosition);
    }

    /** Returns the data centres to which nothing new is sent. */
    Set<DataCentre> drained() {
        return changes.values().stream()
                .map(Change::drain)
                .filter(DataCentreDrain::drained)
                .map(DataCentreDrain::dataCentre)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns when each formerly drained data centre became usable again, on the monotonic clock in milliseconds. */
    Map<DataCentre, Long> returnedAtMillis() {
        return changes.values().stream()
                .filter(change -> !change.drain.drained())
                .collect(Collectors.toUnmodifiableMap(change -> change.drain.dataCentre(), Change::sinceMillis));
    }

    /** Returns everything that is known, to be sent to peers. */
    Collection<Change> changes() {
        return List.copyOf(changes.values());
    }

    /**
     * A drained data centre whose row a restored store does not contain.
     *
     * @param readAt the position in the store's history at which the row was first missing
     * @param untilMillis until when the data centre stays drained, on the monotonic clock in milliseconds
     */
    private record MissingRow(StorePosition readAt, long untilMillis) {}

    /**
     * The current state of a data centre.
     *
     * @param drain the statement of the store
     * @param sinceMillis since when the state holds, on the monotonic clock in milliseconds
     */
    record Change(DataCentreDrain drain, long sinceMillis) {}
}
