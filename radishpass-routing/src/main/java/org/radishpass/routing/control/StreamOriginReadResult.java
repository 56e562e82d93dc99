package org.radishpass.routing.control;

import java.util.List;

/**
 * The result of a read of the stored origins of streams.
 *
 * @since 0.13.0
 */
public sealed interface StreamOriginReadResult {
    /**
     * All stored origins.
     *
     * @param batches the batches, in no particular order
     * @param storeMillis the time of the read on the store's clock, in milliseconds
     */
    record Listed(List<StoredOrigins> batches, long storeMillis) implements StreamOriginReadResult {
        /** Creates a result with a copy of the batches. */
        public Listed {
            batches = List.copyOf(batches);
        }
    }

    /**
     * The store could not be read.
     *
     * @param failure the kind of failure
     * @param reason why the read failed
     */
    record Unavailable(ReadFailure failure, String reason) implements StreamOriginReadResult {}
}
