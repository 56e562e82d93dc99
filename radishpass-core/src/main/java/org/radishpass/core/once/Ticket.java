package org.radishpass.core.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Names the one start of the one router that may run a request, and the request among its own.
 *
 * @param router the router
 * @param incarnation which start of it
 * @param number the request's number there
 * @since 0.1.0
 */
public record Ticket(String router, String incarnation, long number) {
    private static final String PREFIX = "ticket.";
    private static final Pattern FORMAT = Pattern.compile("ticket\\.([^/]{1,100})\\.([0-9a-z]{1,20})\\.([0-9]{1,18})");

    /** Returns the text that a caller is given. */
    public String text() {
        return PREFIX + router + '.' + incarnation + '.' + number;
    }

    /**
     * Reads a caller's text.
     *
     * @param text the text
     * @return empty if it is not a ticket but a key of the caller's own
     */
    public static Optional<Ticket> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new Ticket(matcher.group(1), matcher.group(2), Long.parseLong(matcher.group(3))));
    }
}
