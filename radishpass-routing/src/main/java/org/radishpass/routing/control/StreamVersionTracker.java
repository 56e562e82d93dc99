package org.radishpass.routing.control;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.stream.StreamOrigin;
import org.radishpass.routing.stream.StreamVersionRecord;

/**
 * Tracks the record of the software versions at which streams may have begun, and determines what it has to become. The class
 * has no clock and is confined to the control thread.
 */
final class StreamVersionTracker {
    /** The era of a store that has never been restored. Only there does a missing record mean that no stream has begun. */
    private static final long FIRST_ERA = 1;

    private @Nullable StreamVersionRecord record;
    private StorePosition position = StorePosition.NONE;
    private boolean missing;
    private boolean historyUnknown;

    /** Returns the record; empty if none is known. */
    Optional<StreamVersionRecord> record() {
        return Optional.ofNullable(record);
    }

    /** Returns the position at which the record was written; {@link StorePosition#NONE} if the store has none. */
    StorePosition position() {
        return position;
    }

    /** Tells whether the record was written in an era, so that no restore of the store can have changed it since. */
    boolean validIn(long era) {
        return record != null && record.era() == era;
    }

    /**
     * Applies a record that the store or a peer holds.
     *
     * @return whether the record is another one than before
     */
    boolean offer(StreamVersionRecord offered, StorePosition writtenAt) {
        missing = false;
        if (record != null && !writtenAt.after(position)) {
            return false;
        }
        record = offered;
        position = writtenAt;
        return true;
    }

    /**
     * Records that the store holds no record.
     *
     * @param unrecordedStreams whether routers of earlier releases may have begun streams
     */
    void noteMissing(boolean unrecordedStreams) {
        historyUnknown |= unrecordedStreams || record != null;
        record = null;
        position = StorePosition.NONE;
        missing = true;
    }

    /**
     * Returns the record that the store should hold; empty if it holds that one, or if that is not known.
     *
     * @param listed the listed endpoints
     * @param settled whether endpoints that are not listed are gone
     * @param storeMillis the time on the store's clock, in milliseconds
     * @param era the era of the store
     */
    Optional<StreamVersionRecord> wanted(
            Collection<ServiceEndpoint> listed, boolean settled, long storeMillis, long era) {
        if (record == null && !missing) {
            return Optional.empty();
        }
        StreamVersionRecord wanted = base(storeMillis, era).listing(origins(listed), settled, storeMillis);
        return wanted.equals(record) ? Optional.empty() : Optional.of(wanted);
    }

    private StreamVersionRecord base(long storeMillis, long era) {
        StreamVersionRecord current = record;
        if (current == null) {
            StreamVersionRecord first = StreamVersionRecord.first(era);
            return historyUnknown || era > FIRST_ERA ? first.withUnknownHistory(era, storeMillis) : first;
        }
        return current.era() == era ? current : current.withUnknownHistory(era, storeMillis);
    }

    private static Set<StreamOrigin> origins(Collection<ServiceEndpoint> listed) {
        Set<StreamOrigin> origins = new LinkedHashSet<>();
        listed.forEach(endpoint -> origins.add(StreamOrigin.of(endpoint)));
        return origins;
    }
}
