package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.quarantine.Suspect;

/**
 * The result of a read of the quarantined requests from the store.
 *
 * @since 0.5.0
 */
public sealed interface QuarantineReadResult {
    /**
     * The quarantined requests were read.
     *
     * @param suspects the requests
     */
    record Listed(List<Suspect> suspects) implements QuarantineReadResult {
        /** Copies the list of requests. */
        public Listed {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * The store could not be read.
     *
     * @param failure the kind of failure
     * @param reason why the read failed
     */
    record Unavailable(ReadFailure failure, String reason) implements QuarantineReadResult {
        /** Creates the result of a request to which the store did not respond, or which it refused. */
        public Unavailable(String reason) {
            this(ReadFailure.STORE_UNAVAILABLE, reason);
        }
    }
}
