package org.radishpass.routing.connection;

import java.util.Locale;

/**
 * When bytes that belong to no response were received on a connection.
 *
 * @since 0.16.0
 */
public enum ArrivalPhase {
    /** While the connection carried no request. */
    IDLE,
    /** Together with the end of a response. */
    AFTER_RESPONSE,
    /** While a request waited for its response. */
    BEFORE_RESPONSE;

    /** Returns the phase as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
