package org.radishpass.routing.retry;

import java.util.Locale;

/**
 * Whether a request may be sent once more, and the figures that decided it.
 *
 * @param granted whether the retry is allowed
 * @param spent the retries of this process in the window that leaves the least room, without this one
 * @param limit the retries that this process may send in that window
 * @param routers the number of routers by which the fixed number of retries is divided; 0 if unknown
 * @param ageMillis the time since the start of this process, in milliseconds
 * @param firstWindow whether this process is younger than a window
 * @since 0.13.0
 */
public record RetryDecision(
        boolean granted, int spent, double limit, int routers, long ageMillis, boolean firstWindow) {
    /** Returns the decision as written to the log, such as {@code granted spent 3 limit 12.4 routers 7 age 4100}. */
    public String text() {
        return String.format(
                Locale.ROOT,
                "%s spent %d limit %.1f routers %d age %d",
                granted ? "granted" : "denied",
                spent,
                limit,
                routers,
                ageMillis);
    }
}
