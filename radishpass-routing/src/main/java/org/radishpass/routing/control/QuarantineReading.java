package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.quarantine.Suspect;

/**
 * What the store answered about requests that are kept from endpoints.
 *
 * @since 0.5.0
 */
public sealed interface QuarantineReading {
    /**
     * They were read.
     *
     * @param suspects the requests
     */
    record Listed(List<Suspect> suspects) implements QuarantineReading {
        /** Copies the requests. */
        public Listed {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * The store did not answer, or refused.
     *
     * @param reason why
     */
    record Unavailable(String reason) implements QuarantineReading {}
}
