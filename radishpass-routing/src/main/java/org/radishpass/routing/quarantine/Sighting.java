package org.radishpass.routing.quarantine;

/**
 * An endpoint that ended while a request was at work there.
 *
 * @param endpointHash the hash of the endpoint's id, which names one start of it
 * @param ageMillis how long ago, in milliseconds
 * @param atWorkMillis how long before its end the request had been sent there, in milliseconds
 * @since 0.5.0
 */
public record Sighting(long endpointHash, long ageMillis, long atWorkMillis) {
    /** Returns this sighting some time later. */
    Sighting aged(long millis) {
        return new Sighting(endpointHash, ageMillis + millis, atWorkMillis);
    }
}
