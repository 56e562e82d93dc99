package org.radishpass.routing.stream;

/**
 * A period in which streams may have begun at one software version of a service.
 *
 * @param origin the service and the software version
 * @param endedAtMillis when the version was no longer listed, on the store's clock in milliseconds; {@link #OPEN} if it is
 *     listed
 * @since 0.13.0
 */
public record VersionPeriod(StreamOrigin origin, long endedAtMillis) {
    /** The end of a period that has not ended. */
    public static final long OPEN = Long.MAX_VALUE;

    /** Returns a period that has not ended. */
    public static VersionPeriod open(StreamOrigin origin) {
        return new VersionPeriod(origin, OPEN);
    }

    /** Tells whether streams may begin at the version now. */
    public boolean isOpen() {
        return endedAtMillis == OPEN;
    }
}
