package org.radishpass.core.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An identifier that a router issues for a request. It names the only incarnation of the only router that may run the
 * request.
 *
 * @param router the id of the router that issued the ticket
 * @param incarnation the incarnation of that router
 * @param number the number of the ticket, unique within the incarnation
 * @since 0.1.0
 */
public record Ticket(String router, String incarnation, long number) {
    private static final String PREFIX = "ticket.";
    private static final Pattern FORMAT = Pattern.compile("ticket\\.([^/]{1,100})\\.([0-9a-z]{1,20})\\.([0-9]{1,18})");

    /** Returns the textual form of the ticket, which the caller gets. */
    public String text() {
        return PREFIX + router + '.' + incarnation + '.' + number;
    }

    /**
     * Parses the idempotency key of a request.
     *
     * @param text the idempotency key that the caller sent
     * @return the ticket, or empty if the text is a key that the caller chose itself
     */
    public static Optional<Ticket> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new Ticket(matcher.group(1), matcher.group(2), Long.parseLong(matcher.group(3))));
    }
}
