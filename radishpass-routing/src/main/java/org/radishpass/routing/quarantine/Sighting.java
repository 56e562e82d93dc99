package org.radishpass.routing.quarantine;

/**
 * An endpoint that ended while a request was at work there.
 *
 * @param endpointHash the hash of the endpoint's id, which names one start of it
 * @param ageMillis how long ago, in milliseconds
 * @param soon whether it ended soon after the request was sent there, as an endpoint does that its request ends
 * @since 0.5.0
 */
public record Sighting(long endpointHash, long ageMillis, boolean soon) {
    /** Returns this sighting some time later. */
    Sighting aged(long millis) {
        return new Sighting(endpointHash, ageMillis + millis, soon);
    }
}
