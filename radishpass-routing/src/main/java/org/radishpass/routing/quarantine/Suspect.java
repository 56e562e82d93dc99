package org.radishpass.routing.quarantine;

import java.util.List;

/**
 * A feature of requests that were in progress at endpoints when they crashed, as routers report it to each other and store
 * it.
 *
 * @param cause the feature, which may be the cause of the crashes
 * @param crashes the crashes
 * @param triedMillisAgo the time since the last trial, which shows whether it still crashes an endpoint, in
 *     milliseconds; {@link #NEVER_TRIED} if there was no trial
 * @since 0.5.0
 */
public record Suspect(CrashCause cause, List<EndpointCrash> crashes, long triedMillisAgo) {
    /** The value of {@link #triedMillisAgo} if there was no trial. */
    public static final long NEVER_TRIED = -1;

    /** Creates a suspect with a copy of the crashes. */
    public Suspect {
        crashes = List.copyOf(crashes);
    }

    /** Tells whether a request with the feature has been let through as a trial. */
    public boolean tried() {
        return triedMillisAgo != NEVER_TRIED;
    }

    Suspect aged(long millis) {
        return new Suspect(
                cause,
                crashes.stream().map(crash -> crash.aged(millis)).toList(),
                tried() ? triedMillisAgo + millis : NEVER_TRIED);
    }
}
