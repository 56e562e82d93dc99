package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.quarantine.Suspect;

/**
 * The result of reading quarantined requests from the store.
 *
 * @since 0.5.0
 */
public sealed interface QuarantineReading {
    /**
     * The quarantined requests were read.
     *
     * @param suspects the requests
     */
    record Listed(List<Suspect> suspects) implements QuarantineReading {
        /** Copies the list of requests. */
        public Listed {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * The store did not answer, or refused to.
     *
     * @param reason why the store did not answer
     */
    record Unavailable(String reason) implements QuarantineReading {}
}
