package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.stream.StreamVersionRecord;

/**
 * The result of a read of the recorded software versions at which streams may have begun.
 *
 * @since 0.13.0
 */
public sealed interface StreamVersionReadResult {
    /**
     * The record.
     *
     * @param record the record; {@link StreamVersionRecord#UNREADABLE} if it cannot be decoded
     * @param position the position in the store's history at which the record was written
     */
    record Found(StreamVersionRecord record, StorePosition position) implements StreamVersionReadResult {}

    /** The store holds no record. */
    record Absent() implements StreamVersionReadResult {}

    /**
     * The store could not be read.
     *
     * @param failure the kind of failure
     * @param reason why the read failed
     */
    record Unavailable(ReadFailure failure, String reason) implements StreamVersionReadResult {}
}
