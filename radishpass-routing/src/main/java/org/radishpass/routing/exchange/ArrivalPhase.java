package org.radishpass.routing.exchange;

import java.util.Locale;

/**
 * When bytes arrived that are not the response to the request in flight.
 *
 * @since 0.16.0
 */
public enum ArrivalPhase {
    /** No request was in flight. */
    IDLE,
    /** They came with the end of a response. */
    AFTER_RESPONSE,
    /** A request was waiting for its response. */
    BEFORE_RESPONSE;

    /** Returns the phase as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
