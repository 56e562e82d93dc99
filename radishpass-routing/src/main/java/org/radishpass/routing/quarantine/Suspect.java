package org.radishpass.routing.quarantine;

import java.util.List;

/**
 * A request at whose work endpoints have ended, as routers tell each other of it.
 *
 * @param request the request
 * @param ends the endpoints
 * @param triedMillisAgo how long ago it was let through to find out whether it still ends its endpoint, in milliseconds; {@link
 *     #NEVER_TRIED} if it was not
 * @since 0.5.0
 */
public record Suspect(RequestFingerprint request, List<Sighting> ends, long triedMillisAgo) {
    /** The age of a trial that did not happen. */
    public static final long NEVER_TRIED = -1;

    /** Copies the ends. */
    public Suspect {
        ends = List.copyOf(ends);
    }

    /** Tells whether it was let through since it was suspected. */
    public boolean tried() {
        return triedMillisAgo != NEVER_TRIED;
    }

    Suspect aged(long millis) {
        return new Suspect(
                request,
                ends.stream().map(end -> end.aged(millis)).toList(),
                tried() ? triedMillisAgo + millis : NEVER_TRIED);
    }
}
