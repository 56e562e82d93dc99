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
     * The store did not respond, or refused to.
     *
     * @param reason why the store did not respond
     */
    record Unavailable(String reason) implements QuarantineReadResult {}
}
