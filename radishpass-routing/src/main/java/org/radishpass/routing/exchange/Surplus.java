package org.radishpass.routing.exchange;

import java.util.Locale;

/**
 * What a connection delivered behind the end of a response.
 *
 * @since 0.16.0
 */
public enum Surplus {
    /** Nothing. */
    NONE,
    /** Line ends only, or what may be the beginning of another response. */
    RESPONSE_BEGIN,
    /** Anything else: where the response ended is in doubt. */
    OTHER;

    /** Returns the kind as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
